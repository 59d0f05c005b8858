/// Parses event boundaries and ids.
#include "gateway/event_splitter.h"

namespace hawthorndrum {

namespace {

/** Returns the offset after the empty line that ends the first event, or npos. */
std::size_t EndOfEvent(std::string_view text) {
  std::size_t line = 0;
  for (;;) {
    const std::size_t end = text.find('\n', line);
    if (end == std::string_view::npos) return std::string_view::npos;
    const std::size_t length = end - line;
    if (length == 0 || (length == 1 && text[line] == '\r')) return end + 1;
    line = end + 1;
  }
}

}  // namespace

bool event_splitter::Feed(std::string_view bytes, std::string& complete) {
  rest_.append(bytes);
  std::size_t taken = 0;
  for (;;) {
    std::string_view open = rest_;
    open.remove_prefix(taken);
    const std::size_t end = EndOfEvent(open);
    if (end == std::string_view::npos) break;
    ParseId(open.substr(0, end));
    ++events_;
    taken += end;
  }
  complete.append(rest_, 0, taken);
  rest_.erase(0, taken);
  return rest_.size() <= kLongestEvent;
}

void event_splitter::ParseId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
      last_id_ = std::string(line);
    }
    if (end == std::string_view::npos) return;
    event.remove_prefix(end + 1);
  }
}

}  // namespace hawthorndrum
