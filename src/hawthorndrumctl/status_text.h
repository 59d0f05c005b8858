/// The text of `hawthorndrumctl status`.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hawthorndrum {

/** `sections` maps section names to their reports; missing ones are said to be missing. */
std::string StatusAsText(const nlohmann::json& sections);

}  // namespace hawthorndrum
