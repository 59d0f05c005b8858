/// Splits a byte stream into server-sent events.
#include "systems/sse_parser.h"

#include <utility>

namespace hawthorndrum {

bool sse_parser::Feed(std::string_view bytes, std::vector<sse_event>& events) {
  rest_.append(bytes);
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = rest_.find('\n', start);
    if (end == std::string::npos) break;
    std::string_view line = rest_;
    line = line.substr(start, end - start);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    TakeLine(line, events);
    start = end + 1;
  }
  rest_.erase(0, start);
  return rest_.size() + pending_.data.size() <= kLongestEvent;
}

void sse_parser::TakeLine(std::string_view line, std::vector<sse_event>& events) {
  if (line.empty()) {
    if (has_pending_) events.push_back(std::move(pending_));
    pending_ = {};
    has_pending_ = false;
    return;
  }
  if (line.front() == ':') return;
  const std::size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (field == "data") {
    if (!pending_.data.empty()) pending_.data += '\n';
    pending_.data += value;
  } else if (field == "id") {
    pending_.id = value;
  } else if (field == "event") {
    pending_.type = value;
  } else {
    return;
  }
  has_pending_ = true;
}

std::string ToWire(const sse_event& event) {
  std::string wire;
  wire.reserve(event.data.size() + event.id.size() + 32);
  if (!event.type.empty()) wire.append("event: ").append(event.type).append("\n");
  if (!event.id.empty()) wire.append("id: ").append(event.id).append("\n");
  std::string_view data = event.data;
  for (;;) {
    const std::size_t end = data.find('\n');
    wire.append("data: ").append(data.substr(0, end)).append("\n");
    if (end == std::string_view::npos) break;
    data.remove_prefix(end + 1);
  }
  wire.append("\n");
  return wire;
}

}  // namespace hawthorndrum
