/// True time, agreed among the daemons.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Maps the daemon's own clock, which never jumps, to the time of day. The host's time of day is
 * read once, so that a later jump changes nothing. A host whose time was wrong at that moment is
 * outvoted: the daemon that reports usage takes the median of all, and the others follow it.
 *
 * All offsets are milliseconds from the daemon's own clock to the time since 1970.
 */
class shared_time {
 public:
  /** A difference up to this is the time that a message takes, and is not followed. */
  static constexpr std::int64_t kToleratedMs = 150;

  /** Only the first call counts. */
  void NoteOwn(std::uint64_t wall_ms, time_point now);
  /** What another daemon's clock showed when it sent a message that arrived now. */
  void NotePeer(const std::string& peer, std::uint64_t wall_ms, time_point now);
  /**
   * The median that the reporting daemon sent. Followed once two in a row agree, since a message
   * that was held up names a time that has passed.
   */
  void NoteAgreed(std::uint64_t wall_ms, time_point now);

  /** The time since 1970 as this daemon's own clock has it. */
  std::uint64_t OwnAt(time_point now) const;
  std::uint64_t At(time_point now) const;
  /** The median of all clocks, if at least that many daemons besides this one are known. */
  std::optional<std::uint64_t> MedianAt(time_point now, std::size_t peers) const;

 private:
  std::optional<std::int64_t> own_;
  std::optional<std::int64_t> agreed_;
  std::optional<std::int64_t> candidate_;
  std::map<std::string, std::int64_t> peers_;
};

}  // namespace hawthorndrum
