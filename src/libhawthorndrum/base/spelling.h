/// Finds the known word that a misspelt one most likely means.
#pragma once

#include <boost/core/span.hpp>
#include <string>
#include <string_view>

namespace hawthorndrum {

/** How many letters must be added, removed, changed or swapped with their neighbour. */
std::size_t EditDistance(std::string_view a, std::string_view b);

/** `did you mean "x"?` for the nearest known word, or an empty text when none is near. */
std::string SuggestSpelling(std::string_view word, boost::span<const std::string_view> known);

}  // namespace hawthorndrum
