/// Splits a stream of server-sent events at event boundaries without changing a byte.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthorndrum {

/**
 * Accepts chunks of any size and returns complete events, so that a stream that breaks inside an
 * event can resume at another upstream after the last complete one.
 *
 * Invariant: rest_ holds the bytes after the last event boundary, at most kLongestEvent of them.
 */
class event_splitter {
 public:
  static constexpr std::size_t kLongestEvent = 1 << 20;

  /** Appends newly completed events to `complete`; returns false once an event is too long. */
  bool Feed(std::string_view bytes, std::string& complete);

  /** Returns the `id` of the last complete event that had one. */
  const std::string& last_id() const { return last_id_; }
  std::size_t events() const { return events_; }
  /** Returns whether the bytes so far end at an event boundary. */
  bool between_events() const { return rest_.empty(); }
  /** Discards the bytes of an incomplete event. */
  void DropIncomplete() { rest_.clear(); }

 private:
  void ParseId(std::string_view event);

  std::string rest_;
  std::string last_id_;
  std::size_t events_ = 0;
};

}  // namespace hawthorndrum
