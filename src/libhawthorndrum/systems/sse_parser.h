/// Splits a byte stream into server-sent events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthorndrum {

/** One event. `id` is empty when the event had none. */
struct sse_event {
  std::string id;
  std::string type;
  std::string data;
};

/**
 * Accepts bytes split at any point and returns the events that they complete. Lines end with LF or
 * CRLF.
 *
 * Invariant: rest_ and pending_ together hold at most kLongestEvent bytes.
 */
class sse_parser {
 public:
  static constexpr std::size_t kLongestEvent = 1 << 20;

  /** Appends complete events to `events`; returns false once an event is too long. */
  bool Feed(std::string_view bytes, std::vector<sse_event>& events);

  /** Returns whether the bytes so far end between two events. */
  bool between_events() const { return rest_.empty() && !has_pending_; }

 private:
  void TakeLine(std::string_view line, std::vector<sse_event>& events);

  std::string rest_;
  sse_event pending_;
  bool has_pending_ = false;
};

/** Returns the event in its wire format. */
std::string ToWire(const sse_event& event);

}  // namespace hawthorndrum
