/// Looks for folded lines in the bytes of heads.
#include "head_buffer.h"

#include <algorithm>
#include <string_view>

namespace hawthorndrum {

void head_buffer::BeginHead() {
  in_head_ = true;
  at_line_begin_ = false;
  has_folded_line_ = false;
}

bool head_buffer::EndHead() {
  in_head_ = false;
  return has_folded_line_;
}

void head_buffer::consume(std::size_t bytes) {
  if (in_head_) {
    const std::string_view taken(static_cast<const char*>(data().data()), std::min(bytes, size()));
    for (const char each : taken) {
      if (at_line_begin_ && (each == ' ' || each == '\t')) has_folded_line_ = true;
      at_line_begin_ = each == '\n';
    }
  }
  boost::beast::flat_buffer::consume(bytes);
}

}  // namespace hawthorndrum
