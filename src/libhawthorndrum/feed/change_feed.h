/// Lets one daemon of a data centre read the platform's host list for all of them.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/units.h"
#include "feed/feed_message.h"

namespace hawthorndrum {

class daemon_directory;
class event_log;
class feed_sender;
class feed_target;

/**
 * What a daemon knows is at most `known_within` old, whichever daemon reads: a reader speaks only
 * while the store answers it, since a cut may leave its calls without any answer.
 *
 * The reader is the daemon of the data centre whose name sorts first and that is heard of. It
 * watches the store and sends each answer's changes to the others, which don't watch while they
 * hear from it. A daemon that misses changes asks for them, and reads the store itself when they
 * don't come.
 *
 * Invariants: changes are applied only if they begin at or before the revision that this daemon is
 * at, and end after it; history_ holds the last kMaxHistory messages without a gap, oldest first.
 */
class change_feed {
 public:
  static constexpr duration kSkipTime = seconds(5);
  /** How long changes may be missing before this daemon reads itself. */
  static constexpr duration kMaxLag = milliseconds(600);
  /** How long this daemon may know more than the reader, whose store may have been restored. */
  static constexpr duration kMaxAhead = seconds(5);

  change_feed(const daemon_directory& daemons, feed_sender& sender, feed_target& target,
              event_log& log, std::string own_name, std::string own_data_centre,
              std::size_t min_daemons, duration known_within);

  /** The store returned all changes after `from` up to `to` to this daemon itself. */
  void OnRead(std::uint64_t from, std::uint64_t to, std::uint64_t newest_change,
              boost::span<const object_change> changes, time_point now);
  /** This daemon listed all objects anew; what it sent before may not lead to them. */
  void OnListed(time_point now) {
    history_.clear();
    answered_at_ = now;
  }
  void OnMessage(const feed_message& message, const std::string& from, time_point now);
  void Run(time_point now);

  /** Whether this daemon reads for its data centre. */
  bool is_reader() const { return is_reader_; }
  /** Whether this daemon need not read the store, since a reader keeps it up to date. */
  bool Follows(time_point now) const;

 private:
  static constexpr std::size_t kMaxHistory = 64;

  /** Returns the name of the daemon that reads for this data centre. */
  std::string Reader(time_point now) const;
  void ChooseReader(time_point now);
  std::vector<std::string> Followers() const;
  duration Period(std::size_t followers) const;
  void Send(const feed_message& message, boost::span<const std::string> to);
  /** Divides an answer's changes into messages, each of which ends at the revision of a change. */
  static std::vector<feed_message> Divide(std::uint64_t from, std::uint64_t to,
                                          std::uint64_t newest_change,
                                          boost::span<const object_change> changes);
  /** Whether one datagram may carry the message. */
  static bool Fits(const feed_message& message);
  /** Nothing changed after `from` up to `to`. */
  void NoteUnchanged(std::uint64_t from, std::uint64_t to, std::uint64_t newest_change);
  void Answer(const feed_message& question, const std::string& to);
  void ApplyMessage(const feed_message& message, time_point now);

  const daemon_directory& daemons_;
  feed_sender& sender_;
  feed_target& target_;
  event_log& log_;
  std::string own_name_;
  std::string own_data_centre_;
  /** With fewer in the data centre each daemon reads itself. */
  std::size_t min_daemons_;
  /** For how long after an answer of the store a reader tells others that they are up to date. */
  duration fresh_for_;
  /** A reader that was not heard for longer is skipped, and this daemon reads itself meanwhile. */
  duration reader_timeout_;
  bool is_reader_ = false;
  /** When the store last answered this daemon. */
  time_point answered_at_;
  std::string reader_;
  time_point reader_since_;
  std::map<std::string, time_point> skipped_until_;
  std::deque<feed_message> history_;
  time_point next_beat_;
  /** When a reader was last heard. */
  time_point heard_at_;
  /** Since when a reader is at another revision than this daemon; none while they agree. */
  time_point differs_since_;
  bool differs_ = false;
  bool is_ahead_ = false;
  time_point asked_at_;
};

}  // namespace hawthorndrum
