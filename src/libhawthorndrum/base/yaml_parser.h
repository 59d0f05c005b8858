/// Parses YAML text of bounded size into a tree of nodes with locations.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/findings.h"
#include "base/yaml_node.h"

namespace hawthorndrum {

inline constexpr std::size_t kMaxYamlBytes = 256 * 1024;
inline constexpr std::size_t kMaxYamlNodes = 20'000;
inline constexpr std::size_t kMaxYamlDepth = 12;

/**
 * Parses the text as one YAML document. Syntax errors, aliases, anchors, tags, repeated keys,
 * further documents and exceeded limits become findings; the tree is then incomplete and must not
 * be used.
 */
yaml_node ParseYaml(const std::string& file, std::string_view text, findings& found);

}  // namespace hawthorndrum
