/// Writes to standard output and standard error that end although nobody reads.
#pragma once

#include <string_view>

namespace hawthorndrum {

/**
 * Writes the text as far as the descriptor takes it; gives up when it takes nothing for 100 ms.
 * Only calls async-signal-safe functions.
 */
void WriteBounded(int descriptor, std::string_view text);

/** Writes the text to standard error. */
void PrintError(std::string_view text);

}  // namespace hawthorndrum
