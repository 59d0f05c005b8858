/// Reading the query part of a request's target.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthorndrum {

/** The target without its query. */
std::string_view TargetPath(std::string_view target);

/** The decoded value of a query parameter, or an empty string. */
std::string QueryValue(std::string_view target, std::string_view name);

/** The same as a number, or `otherwise` when it is missing or no number. */
std::uint64_t QueryNumber(std::string_view target, std::string_view name, std::uint64_t otherwise);

}  // namespace hawthorndrum
