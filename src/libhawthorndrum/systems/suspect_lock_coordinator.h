/// Grants the lock to run a suspect, one at a time in the data centre.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/** The daemon that holds the lock, and the suspect that it may run. */
struct suspect_lock_grant {
  peer_id holder;
  std::uint64_t fingerprint = 0;
};

/**
 * Every daemon has a coordinator, but only one in the data centre is active and grants the lock. A
 * newly active one waits until every grant of an earlier one has expired.
 *
 * Invariant: one holder at a time, until it releases the lock or has not renewed it for
 * kGrantExpiry.
 */
class suspect_lock_coordinator {
 public:
  static constexpr duration kGrantExpiry = seconds(5);
  static constexpr duration kRequestExpiry = seconds(2);

  /**
   * Sets each tick whether this daemon coordinates, and whether it has no peers in the data centre.
   */
  void SetActive(bool active, bool has_no_peers, time_point now);

  void RequestLock(peer_id from, std::uint64_t fingerprint, time_point now);
  void ReleaseLock(peer_id from, std::uint64_t fingerprint);

  /** Returns the grant in force. Grants the lock to the newest request when it is free. */
  std::optional<suspect_lock_grant> Grant(time_point now);

 private:
  struct pending_request {
    std::uint64_t fingerprint = 0;
    time_point first;
    time_point last;
  };

  bool active_ = false;
  time_point first_grant_;
  std::optional<suspect_lock_grant> held_;
  time_point renewed_;
  std::unordered_map<peer_id, pending_request> pending_;
};

}  // namespace hawthorndrum
