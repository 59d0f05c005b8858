/// Parses event boundaries and ids.
#include "gateway/event_splitter.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>

#include "base/sendable_value.h"

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

/** Returns whether the text before the first colon, if any, can be the name of a field. */
bool IsFieldOrComment(std::string_view line) {
  const std::string_view name = line.substr(0, line.find(':'));
  return std::all_of(name.begin(), name.end(),
                     [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; });
}

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (text.empty() || read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return number;
}

}  // namespace

std::string_view NameOf(event_fault fault) {
  switch (fault) {
    case event_fault::kNone:
      return "none";
    case event_fault::kTooLong:
      return "event_too_large";
    case event_fault::kNotAnEvent:
      return "not_an_event";
    case event_fault::kRepeated:
      return "event_repeated";
  }
  return "unknown";
}

event_fault event_splitter::Feed(std::string_view bytes, std::string& complete) {
  rest_.append(bytes);
  std::size_t taken = 0;
  event_fault fault = event_fault::kNone;
  for (;;) {
    std::string_view open = rest_;
    open.remove_prefix(taken);
    const std::size_t end = EndOfEvent(open);
    if (end == std::string_view::npos) break;
    fault = Read(open.substr(0, end));
    if (fault != event_fault::kNone) break;
    ++events_;
    taken += end;
  }
  complete.append(rest_, 0, taken);
  rest_.erase(0, taken);
  if (fault != event_fault::kNone) return fault;
  return rest_.size() <= kLongestEvent ? event_fault::kNone : event_fault::kTooLong;
}

event_fault event_splitter::Read(std::string_view event) {
  std::string_view id;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (!IsFieldOrComment(line)) return event_fault::kNotAnEvent;
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
      id = line;
    }
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
  }
  return id.empty() ? event_fault::kNone : ReadId(id);
}

event_fault event_splitter::ReadId(std::string_view id) {
  // It is sent on in a header when the stream is resumed.
  if (!IsSendableValue(id)) return event_fault::kNotAnEvent;
  const auto before = ReadNumber(last_id_);
  const auto number = ReadNumber(id);
  if (id == last_id_ || (before && number && *number <= *before)) return event_fault::kRepeated;
  last_id_ = std::string(id);
  return event_fault::kNone;
}

}  // namespace hawthorndrum
