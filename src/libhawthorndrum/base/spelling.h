/// Suggests known words for misspelt ones.
#pragma once

#include <boost/core/span.hpp>
#include <string>
#include <string_view>

namespace hawthorndrum {

/** Returns how many letters must be added, removed, changed or swapped with a neighbour. */
std::size_t EditDistance(std::string_view a, std::string_view b);

/** Returns `did you mean "x"?` for the closest known word, or nothing when none is close. */
std::string SuggestSpelling(std::string_view word, boost::span<const std::string_view> known);

}  // namespace hawthorndrum
