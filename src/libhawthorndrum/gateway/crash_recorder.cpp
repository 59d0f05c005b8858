/// Tells crashes from sound answers, also of those that end with their connection.
#include "gateway/crash_recorder.h"

#include <utility>

#include "crashes/crash_evidence.h"
#include "gateway/exchange.h"
#include "gateway/fleet_table.h"

namespace hawthorndrum {

crash_recorder::crash_recorder(const fleet_table& fleet, crash_evidence& evidence)
    : fleet_(fleet), evidence_(evidence) {}

bool crash_recorder::CrashesUpstreams(const exchange& each, time_point now) const {
  return evidence_.IsConvicted(each.suspects, now);
}

std::string crash_recorder::ConvictedSuspect(const exchange& each, time_point now) const {
  const suspect_id found = evidence_.FindConvicted(each.suspects, now);
  return found ? NameOf(found) : std::string();
}

void crash_recorder::RecordCrash(const exchange& each, time_point now) {
  // Prefill writes no answer.
  if (each.state != exchange_state::kRunning) return;
  if (each.call.first_byte_seen && now - each.call.first_byte_at >= kLivedOn) return;
  evidence_.RecordLoss(each.suspects, {each.call.upstream, each.call.sent_at, now}, now);
}

void crash_recorder::RecordLivedOn(exchange& each, time_point now) {
  if (std::exchange(each.call.lived_on, true)) return;
  const time_point begun_at = each.call.first_byte_seen ? each.call.first_byte_at : now;
  if (!each.call.ended_by_close) return evidence_.RecordSound(each.suspects, begun_at, now);
  if (closed_answers_.size() >= kMaxClosedAnswers) closed_answers_.pop_front();
  closed_answers_.push_back({each.suspects, each.call.upstream, begun_at, now});
}

void crash_recorder::Run(time_point now) {
  while (!closed_answers_.empty() && now - closed_answers_.front().ended_at >= kLivedOn) {
    const closed_answer& answer = closed_answers_.front();
    const fleet_upstream* row = fleet_.Find(answer.upstream);
    // Bytes that were on their way when it ended prove nothing.
    const bool lives = row != nullptr && row->last_active_at >= answer.ended_at + kLivedOn / 2;
    if (lives) evidence_.RecordSound(answer.suspects, answer.begun_at, now);
    closed_answers_.pop_front();
  }
}

}  // namespace hawthorndrum
