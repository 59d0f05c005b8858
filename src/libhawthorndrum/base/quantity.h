/// Reads and writes quantities with units: `250ms`, `8s`, `64MiB`.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/units.h"

namespace hawthorndrum {

/** Reads a time with one of the units us, ms, s, min, h; for example `250ms` or `1.5s`. */
expected<duration> ParseDuration(std::string_view text);

/** Reads a size with one of the units B, KiB, MiB, GiB; for example `64MiB`. */
expected<std::uint64_t> ParseBytes(std::string_view text);

/** Reads a finite decimal number that takes up the whole text. */
expected<double> ParseNumber(std::string_view text);

/** The time in its largest unit that leaves a whole number. */
std::string FormatDuration(duration time);

}  // namespace hawthorndrum
