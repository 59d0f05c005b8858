/// Parses and formats quantities with units: `250ms`, `8s`, `64MiB`.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/units.h"

namespace hawthorndrum {

/** Parses a duration in us, ms, s, min or h; for example `250ms` or `1.5s`. */
expected<duration> ParseDuration(std::string_view text);

/** Parses a size in B, KiB, MiB or GiB; for example `64MiB`. */
expected<std::uint64_t> ParseBytes(std::string_view text);

/** Parses the whole text as one finite decimal number. */
expected<double> ParseNumber(std::string_view text);

/** Formats the duration in the largest unit in which it is a whole number. */
std::string FormatDuration(duration time);

}  // namespace hawthorndrum
