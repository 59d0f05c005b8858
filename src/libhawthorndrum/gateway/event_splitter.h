/// Splits a stream of server-sent events at event boundaries without changing a byte.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthorndrum {

/** Why bytes are not part of the stream. */
enum class event_fault {
  kNone,
  kTooLong,
  /** A line is neither a field nor a comment, as in the text of an error. */
  kNotAnEvent,
  /** The event's id is not after the one before. */
  kRepeated,
};

std::string_view NameOf(event_fault fault);

/**
 * Accepts chunks of any size and returns complete events, so that a stream that breaks inside an
 * event can resume at another upstream after the last complete one.
 *
 * Invariants: the ids of returned events increase; rest_ holds the bytes after the last event
 * boundary, at most kLongestEvent of them.
 */
class event_splitter {
 public:
  static constexpr std::size_t kLongestEvent = 1 << 20;

  /** Appends the newly completed events before the first fault to `complete`. */
  event_fault Feed(std::string_view bytes, std::string& complete);

  /** Returns the `id` of the last complete event that had one. */
  const std::string& last_id() const { return last_id_; }
  std::size_t events() const { return events_; }
  /** Returns whether the bytes so far end at an event boundary. */
  bool between_events() const { return rest_.empty(); }
  std::size_t incomplete_bytes() const { return rest_.size(); }
  /** Discards the bytes of an incomplete event. */
  void DropIncomplete() { rest_.clear(); }

 private:
  /** Checks the event's lines, and records its id. */
  event_fault Read(std::string_view event);
  event_fault ReadId(std::string_view id);

  std::string rest_;
  std::string last_id_;
  std::size_t events_ = 0;
};

}  // namespace hawthorndrum
