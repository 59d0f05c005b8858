/// Collects and formats findings.
#include "base/findings.h"

#include <utility>

namespace hawthorndrum {

void findings::Add(source_location where, std::string message, std::string hint) {
  items_.push_back({std::move(where), std::move(message), std::move(hint)});
}

void findings::Append(const findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string findings::ToText() const {
  std::string text;
  for (const finding& item : items_) {
    text += item.where.file + ":" + std::to_string(item.where.line) + ":" +
            std::to_string(item.where.column) + ": " + item.message;
    if (!item.hint.empty()) text += " (" + item.hint + ")";
    text += "\n";
  }
  return text;
}

}  // namespace hawthorndrum
