/// A YAML document as a tree with the location of every key and value.
#pragma once

#include <string>
#include <vector>

#include "base/source_location.h"

namespace hawthorndrum {

enum class yaml_kind { kNull, kScalar, kList, kMap };

struct yaml_member;

/**
 * One node. `text` is used by kScalar, `items` by kList, `members` by kMap.
 *
 * Invariant: the keys of `members` are unique.
 */
struct yaml_node {
  yaml_kind kind = yaml_kind::kNull;
  source_location where;
  std::string text;
  std::vector<yaml_node> items;
  std::vector<yaml_member> members;
};

/** A key of a map and its value. */
struct yaml_member {
  std::string key;
  source_location where;
  yaml_node value;
};

}  // namespace hawthorndrum
