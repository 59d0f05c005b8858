/// Gives out the turn to run a suspect, one at a time in the data centre.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/** Who may run which suspect now. */
struct turn_grant {
  peer_id holder;
  std::uint64_t fingerprint = 0;
};

/**
 * The part of the daemon that keeps the turn; only the keeper's is asked. A new keeper waits until
 * every grant of an earlier one has lapsed.
 *
 * Invariant: one holder at a time, until it is done or has not asked for kLapse.
 */
class turn_keeper {
 public:
  static constexpr duration kLapse = seconds(5);
  static constexpr duration kAskLives = seconds(2);

  /** Says each tick whether this daemon is the keeper, and whether there was no one else. */
  void SetKeeping(bool keeping, bool alone, time_point now);

  void Ask(peer_id from, std::uint64_t fingerprint, time_point now);
  void Done(peer_id from, std::uint64_t fingerprint);

  /** The grant in force. Gives the turn to the latest asker when it is free. */
  std::optional<turn_grant> Grant(time_point now);

 private:
  struct ask {
    std::uint64_t fingerprint = 0;
    time_point first;
    time_point last;
  };

  bool keeping_ = false;
  time_point grants_from_;
  std::optional<turn_grant> held_;
  time_point renewed_;
  std::unordered_map<peer_id, ask> asks_;
};

}  // namespace hawthorndrum
