/// The request path: suspects and the peers' messages about them.
#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/peer_message.h"
#include "systems/request_system.h"
#include "systems/suspect_lock_message.h"
#include "systems/suspect_message.h"

namespace hawthorndrum {

void request_system::OnPeerMessage(peer_id from, const peer_message& message) {
  const time_point now = ports_.time->Now();
  if (message.topic == peer_topic::kSuspect) {
    const auto report = DecodeSuspect(message);
    return report ? poison_.OnMessage(*report, now) : bad_peer_messages_.Add();
  }
  const auto lock_message = DecodeSuspectLock(message);
  if (message.topic != peer_topic::kSuspectLock || !lock_message) return bad_peer_messages_.Add();
  suspect_lock_.OnMessage(from, *lock_message, now);
}

refusal request_system::Convicted(const request_row& request, time_point now) const {
  const outcome what = request.may_have_run ? outcome::kFailed : outcome::kNotRun;
  return {422, what, "poison", "this request took down the upstreams that ran it",
          poison_.ConvictedFor(request.fingerprint, now)};
}

void request_system::DispatchSuspect(const std::vector<request_id>& suspects, time_point now) {
  request_row* next = nullptr;
  for (const request_id id : suspects) {
    request_row* row = requests_.Find(id);
    if (poison_.StandingOf(row->fingerprint, now) == fingerprint_standing::kConvicted) {
      return Fail(*row, Convicted(*row, now));
    }
    if (row->attempts > 0 && !routing_.HasUntried(*row)) {
      return Fail(*row, {503, outcome::kNotRun, "no_other_upstream",
                         "every upstream of the service was tried", seconds(1)});
    }
    if (row->fingerprint == suspect_lock_.active_fingerprint()) {
      next = row;
      break;
    }
    // The newest most likely caused the crash: once it is convicted, the others are cleared at
    // once.
    if (!next || row->arrived > next->arrived) next = row;
  }
  if (!next) return;
  const auto upstream = suspect_lock_.Advance(*next, now);
  if (!upstream) return;
  suspect_lock_.Sent(next->fingerprint);
  next->runs_alone = true;
  decisions_.Note(next->id, now, "suspect: runs alone");
  Dispatch(*next, routing_.ChoiceOf(*upstream, *next, now), now);
}

}  // namespace hawthorndrum
