/// Cuts a stream of server-sent events at event boundaries without changing a byte.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthorndrum {

/**
 * Takes bytes in any cut and gives back whole events, so that a stream that breaks off inside an
 * event can go on elsewhere after the last whole one.
 *
 * Invariant: rest_ holds the bytes after the last event boundary, at most kLongestEvent of them.
 */
class event_cutter {
 public:
  static constexpr std::size_t kLongestEvent = 1 << 20;

  /** Appends the bytes of events that became whole to `whole`; false once an event is too long. */
  bool Feed(std::string_view bytes, std::string& whole);

  /** The `id` of the last whole event that had one. */
  const std::string& last_id() const { return last_id_; }
  std::size_t events() const { return events_; }
  /** Whether the bytes so far end between two events. */
  bool between_events() const { return rest_.empty(); }
  /** Forgets the part of an event that never became whole. */
  void DropRest() { rest_.clear(); }

 private:
  void NoteId(std::string_view event);

  std::string rest_;
  std::string last_id_;
  std::size_t events_ = 0;
};

}  // namespace hawthorndrum
