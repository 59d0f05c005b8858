/// Prints a daemon's JSON reports for people.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hawthorndrum {

/**
 * Plain values as `key: value`, lists of objects as tables with one column a key, inner objects
 * indented. Control characters are left out, so that a report can't steer the terminal.
 */
std::string JsonAsText(const nlohmann::json& report);

/** Pretty-printed JSON with a line end; invalid UTF-8 is replaced. */
std::string JsonAsJson(const nlohmann::json& report);

}  // namespace hawthorndrum
