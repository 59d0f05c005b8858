/// Stored form of a configuration's parts, and their keys in the object store.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "tables/config_entry.h"
#include "tables/config_head.h"

namespace hawthorndrum {

inline constexpr std::string_view kConfigHeadKey = "config/head";
inline constexpr std::string_view kConfigPartPrefix = "config/part/";
inline constexpr std::string_view kConfigHistoryPrefix = "config/history/";
/** The object API's limit on one value. */
inline constexpr std::size_t kMaxPartBytes = 1024 * 1024;

std::string PartKey(const content_digest& digest);
std::string HistoryKey(generation number);

/** A line of JSON, then its digest: no other stored object has the head's digest to check it. */
std::string EncodeHead(const config_head& head);
expected<config_head> DecodeHead(std::string_view text);

std::string EncodePage(const config_page& page);
expected<config_page> DecodePage(std::string_view text);

/** Entries must be sorted by name. */
std::string EncodeLeaf(const std::vector<config_entry>& entries);
/** Fails unless all entries are well-formed, sorted by name and belong to the leaf `leaf`. */
expected<std::vector<config_entry>> DecodeLeaf(std::string_view text, std::size_t leaf);

/** All fields of the service as a JSON object, defaults included. */
std::string EncodeService(const service_config& config);

/** Returns a line for each field in which the two differ, such as `priority: 5 -> 9`. */
std::vector<std::string> DescribeDifference(const service_config& before,
                                            const service_config& after);
bool SameService(const service_config& a, const service_config& b);

}  // namespace hawthorndrum
