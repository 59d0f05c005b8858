/// Divides JSON text into parts that are read one by one.
///
/// A parser that reads a whole answer refuses it for a single value: a number that no type holds, a
/// string that is no UTF-8. Objects of different writers are therefore separated first.
#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthorndrum {

/** Deeper values are not read: copying and writing one recurses at each level. */
constexpr std::size_t kMaxJsonDepth = 64;

struct json_member {
  /** As written, without quotes; escapes are kept. */
  std::string_view name;
  std::string_view value;
};

/**
 * Returns the object's members, or nothing if the text is no object whose strings and brackets are
 * closed. The values themselves are not checked.
 */
std::optional<std::vector<json_member>> MembersOf(std::string_view text);
/** Returns the array's elements, or nothing if the text is no array that is closed. */
std::optional<std::vector<std::string_view>> ElementsOf(std::string_view text);
/** Returns the value of the first member of that name; empty if there is none. */
std::string_view ValueOf(const std::vector<json_member>& members, std::string_view name);
/**
 * Returns the bytes of a string, also of one that is no text; empty if the value is no string.
 * Encoders write bytes that are no UTF-8 as U+DC80 to U+DCFF, which stand alone; they become these
 * bytes again. What can't be decoded otherwise stays as written.
 */
std::string BytesOfString(std::string_view text);
/** Returns the value, or a discarded one if it cannot be read or is deeper than kMaxJsonDepth. */
nlohmann::json ReadJson(std::string_view text);

}  // namespace hawthorndrum
