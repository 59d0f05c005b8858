/// The text of `hawthorndrumctl status`.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hawthorndrum {

/** `sections` maps section names to their reports, or to a `problem`, which is printed. */
std::string StatusAsText(const nlohmann::json& sections);

}  // namespace hawthorndrum
