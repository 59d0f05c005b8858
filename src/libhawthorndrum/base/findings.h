/// The findings of one check, collected to be reported together.
#pragma once

#include <string>
#include <vector>

#include "base/finding.h"

namespace hawthorndrum {

/**
 * Collects findings in the order in which they are added.
 */
class findings {
 public:
  void Add(source_location where, std::string message, std::string hint = {});
  void Append(const findings& other);

  bool empty() const { return items_.empty(); }
  const std::vector<finding>& items() const { return items_; }

  /** Formats one line per finding: `file:line:column: message (hint)`. */
  std::string ToText() const;

 private:
  std::vector<finding> items_;
};

}  // namespace hawthorndrum
