/// Formats the results of publishing.
#pragma once

#include <string>

#include "tables/publish_request.h"

namespace hawthorndrum {

std::string ResultAsText(const publish_result& result, std::uint64_t publish_id);
std::string ResultAsJson(const publish_result& result, std::uint64_t publish_id);

/** The changes only, without conflicts and summary. */
std::string ChangesAsText(const publish_result& result);

/** Seconds since 1970 as `2026-12-03 14:05:09 UTC`. */
std::string FormatTime(std::int64_t time);

}  // namespace hawthorndrum
