/// Permits the calls of a duty in the daemon that holds a lease.
#pragma once

#include "duties/duty_authority.h"
#include "systems/system.h"

namespace hawthorndrum {

class lease_system;

/**
 * Invariants: no call is permitted unless the lease is valid, nor before kTakeoverPause after it
 * was gained, when calls of the former holder can no longer arrive, unless there was none; so calls
 * of one daemon, of another and of the first again are further apart than that.
 */
class lease_authority : public system, public duty_authority {
 public:
  /** Longer than the former holder's lease, which its last call may have used up. */
  static constexpr duration kTakeoverPause = milliseconds(3500);
  /** A call that waits longer than this before it is sent no longer matches what was decided. */
  static constexpr duration kSendWithin = milliseconds(500);

  explicit lease_authority(const lease_system& lease) : lease_(lease) {}

  /** Notes when the lease was gained; runs after the lease. */
  void Run(time_point now) override;
  std::optional<duty_terms> TermsFor(time_point now) const override;

 private:
  const lease_system& lease_;
  /** The term that was held at the last Run, or 0, and since when. */
  lease_term term_;
  time_point since_;
};

}  // namespace hawthorndrum
