/// Parsing of the query part of a request target.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthorndrum {

/** Returns the target without its query. */
std::string_view TargetPath(std::string_view target);

/** Returns the decoded value of a query parameter, or an empty string if it is absent. */
std::string QueryValue(std::string_view target, std::string_view name);

/** Returns a query parameter as a number, or `otherwise` if it is absent or not a number. */
std::uint64_t QueryNumber(std::string_view target, std::string_view name, std::uint64_t otherwise);

}  // namespace hawthorndrum
