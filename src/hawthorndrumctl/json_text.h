/// Formats a daemon's JSON reports as text.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hawthorndrum {

/**
 * Formats plain values as `key: value`, lists of objects as tables with one column per key, and
 * nested objects indented. Removes control characters, so that a report can't send escape sequences
 * to the terminal.
 */
std::string JsonAsText(const nlohmann::json& report);

/** Pretty-printed JSON with a trailing newline; invalid UTF-8 is replaced. */
std::string PrettyPrintJson(const nlohmann::json& report);

}  // namespace hawthorndrum
