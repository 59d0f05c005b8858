/// Counts usage and carries the counts to the daemon that reports them.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "usage/shared_time.h"
#include "usage/usage_meter.h"
#include "usage/usage_tally.h"

namespace hawthorndrum {

class daemon_directory;
class usage_sender;
struct usage_counts_message;
struct usage_heard_message;

/** How much of the fleet a report of a window contains. */
struct usage_coverage {
  /** Daemons whose counts of the whole window are there, this one included. */
  std::size_t heard = 0;
  /** Daemons that are listed, this one included. */
  std::size_t known = 0;
  /** Daemons that began to count in the window: what ran there before is lost. */
  std::size_t began = 0;
};

/**
 * Each daemon sends the counts of the open window to the reporting daemon and to one other, which
 * keeps them for a later reporting daemon; and those of an ended window until the reporting daemon
 * has them all. A daemon keeps its own counts, and those that it was sent, until their report is
 * fixed.
 *
 * Invariants: nothing is kept of a window before next_; of others at most kMaxWindows.
 */
class usage_exchange : public usage_meter {
 public:
  /** How often counts are sent. */
  static constexpr duration kPushPeriod = milliseconds(500);
  static constexpr std::uint64_t kMaxWindows = 24;

  usage_exchange(const daemon_directory& daemons, usage_sender& sender, incarnation_id self,
                 duration window);

  /** The time of day at the start of this process. */
  void Begin(std::uint64_t wall_ms, time_point now);
  void OnRequestBegan(std::string_view team, time_point now) override;
  /** Returns whether it was a message about usage. */
  bool OnMessage(boost::span<const std::uint8_t> bytes, const std::string& from, time_point now);
  void Run(time_point now);
  /** From now on sends what has changed at each Run; for a daemon that is about to stop. */
  void Hurry() { hurries_ = true; }

  /** The term under which this daemon reports; nothing while another one does. */
  void SetHolding(std::optional<lease_term> term, time_point now);
  /** The first window whose report is not fixed; what is before it is dropped. */
  void SetNext(std::uint64_t next);
  std::uint64_t next() const { return next_; }

  /** The window that is open now. */
  std::uint64_t WindowAt(time_point now) const;
  /** How long ago the window ended; negative while it has not. */
  duration SinceEnd(std::uint64_t window, time_point now) const;
  /** The first window of which this daemon knows anything. */
  std::uint64_t oldest() const;
  std::map<std::string, std::uint64_t> Sum(std::uint64_t window) const {
    return tally_.Sum(window);
  }
  usage_coverage CoverageOf(std::uint64_t window) const;
  /** Whether the daemons that were heard of lately have all sent their counts of the window. */
  bool AllActiveHeard(std::uint64_t window, time_point now) const;
  /** Whether at least half of the other daemons' clocks are known. */
  bool KnowsTime(time_point now) const;
  /** Whether a reporting daemon was heard of lately, this one included. */
  bool HearsHolder(time_point now) const;

 private:
  /** What is known of another daemon. */
  struct peer_row {
    time_point active_at;
    std::uint64_t began = 0;
    /** Ended windows of which all counts are here. */
    std::set<std::uint64_t> complete;
  };

  void OnCounts(const usage_counts_message& message, const std::string& from, time_point now);
  void OnHeard(const usage_heard_message& message, const std::string& from, time_point now);
  /** Takes over the reporting daemon's time once it is certain. */
  void Follow(std::uint64_t clock_ms, time_point now);
  void Push(time_point now);
  void PushWindow(std::uint64_t window, bool closed, bool whole, const std::string& to,
                  time_point now);
  /** Sends a new reporting daemon the open window, and what was kept for others. */
  void ForwardKept(time_point now);
  void SendCounts(const usage_counts_message& message, const std::string& to);
  void SendHeard(const std::string& to, std::uint64_t window, std::uint64_t total, time_point now);
  void Announce(time_point now);
  /** The daemon that keeps a second copy of this one's counts; empty if there is none. */
  std::string KeeperAddress() const;

  const daemon_directory& daemons_;
  usage_sender& sender_;
  incarnation_id self_;
  duration window_length_;
  shared_time time_;
  usage_tally tally_;
  std::uint64_t began_ = 0;
  std::uint64_t open_ = 0;
  std::uint64_t next_ = 0;
  /** Teams whose counts changed since the last push, by window. */
  std::map<std::uint64_t, std::set<std::string>> changed_;
  /** Ended windows of which the reporting daemon has all counts of this one. */
  std::set<std::uint64_t> acknowledged_;

  std::optional<lease_term> holding_;
  lease_term holder_term_;
  std::string holder_address_;
  time_point holder_heard_at_;
  bool forwards_ = false;
  /** Of the daemons at these addresses. */
  std::map<std::string, peer_row> peers_;
  std::size_t announced_ = 0;
  double announcements_due_ = 0;
  bool hurries_ = false;
  time_point pushed_at_;
};

}  // namespace hawthorndrum
