/// The state of a change of one engine at the lease's holder.
#pragma once

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/units.h"
#include "ports/engine_order.h"

namespace hawthorndrum {

/**
 * kDraining: daemons send the engine nothing new. kFirm: the marks no longer expire.
 * kCommitting: the journal is being written. kReady: journalled, may be sent. kSent: a copy was
 * sent. kEnded: the engine reported the end, which is being journalled.
 */
enum class change_stage { kDraining, kFirm, kCommitting, kReady, kSent, kEnded };

/** A daemon's newest acknowledgement for one engine. */
struct change_acknowledgement {
  std::uint64_t number = 0;
  std::uint32_t in_flight = 0;
};

/**
 * Invariant: `order` is in the journal, open and with this holder's fencing number, from kReady on.
 */
struct engine_change {
  engine_order order;
  change_stage stage = change_stage::kDraining;
  /** Whether an earlier holder journalled the order. */
  bool adopted = false;
  /** Whether the journal holds the order, so that it can't be abandoned. */
  bool journalled = false;
  time_point began;
  /** When the stage began, and the number of the first announcement that includes it. */
  time_point stage_began;
  std::uint64_t stage_number = 0;
  std::map<peer_id, change_acknowledgement> acknowledgements;
  time_point sent_at;
  time_point next_send;
  /** The engine's run that the last copy went to. */
  std::uint64_t sent_to_run = 0;
  /** Since when the engine has been missing from the upstream table. */
  time_point missing_since;
  bool missing = false;
  bool failed = false;
  /** Whether the journal write under way includes this stage. */
  bool in_write = false;
};

}  // namespace hawthorndrum
