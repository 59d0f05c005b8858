/// Chooses the daemon to which a request is passed on.
///
/// Answers the load of a data centre whose daemons all reach no upstream: each of them spreads its
/// requests over partners of its own, so that no other daemon gets a large part of them, and keeps
/// connections to these only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/units.h"
#include "gateway/daemon_directory.h"

namespace hawthorndrum {

class random_source;

/**
 * Ranks the other daemons by rendezvous hash of both hosts; its partners are the first ones by rank
 * that are not excluded.
 *
 * Invariant: `ranked_` holds the first kRanked daemons by rank, or all if there are fewer.
 */
class relay_peers {
 public:
  static constexpr std::size_t kPartners = 16;
  /** Daemons of later ranks are never asked, so that a host that reaches no daemon soon knows. */
  static constexpr std::size_t kRanked = 32;
  /** How long a daemon that serves no requests of others is excluded. */
  static constexpr duration kUnavailableExclusion = milliseconds(500);
  /** How long one that could not be reached is; doubles with each failure in a row. */
  static constexpr duration kUnreachableExclusion = milliseconds(250);
  static constexpr duration kMaxExclusion = seconds(2);
  /** How long a silent daemon is avoided. */
  static constexpr duration kSilentAvoidance = seconds(1);

  relay_peers(std::string own_host, random_source& random);

  void SetDaemons(const std::vector<daemon_record>& others);

  /**
   * Returns the less busy one of two random partners that are not in `tried`; nothing if there is
   * none.
   */
  std::optional<daemon_record> Choose(const std::vector<std::string>& tried, time_point now) const;

  /** A request was sent to the daemon; exactly one call of OnEnded follows. */
  void OnSent(const std::string& host);
  void OnEnded(const std::string& host);
  /** The daemon answered; its failures are over. */
  void OnAnswered(const std::string& host);
  void OnUnavailable(const std::string& host, time_point now);
  /** No connection to the daemon could be made, or it was lost. */
  void OnUnreachable(const std::string& host, time_point now);
  /** The daemon has not answered for long; it may be stopped, or wait for a slow upstream. */
  void OnSilent(const std::string& host, time_point now);

 private:
  struct candidate {
    daemon_record record;
    std::uint64_t score = 0;
    std::uint32_t open = 0;
    int failures = 0;
    time_point excluded_until;
    /** Until then it is chosen only if there is no other. */
    time_point avoid_until;
  };

  candidate* Find(const std::string& host);

  std::string own_host_;
  random_source& random_;
  std::vector<candidate> ranked_;
};

}  // namespace hawthorndrum
