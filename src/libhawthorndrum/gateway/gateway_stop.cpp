/// A planned stop: what is still taken, and the answers to what cannot end in time.
#include <algorithm>
#include <utility>
#include <vector>

#include "base/log_record.h"
#include "gateway/gateway.h"
#include "ports/caller_port.h"
#include "ports/clock.h"
#include "ports/event_log.h"

namespace hawthorndrum {

namespace {

/** Another daemon can take the request at once; jitter spreads the callers a little. */
constexpr duration kRetryElsewhere = milliseconds(50);

}  // namespace

void gateway::BeginStop(time_point ends_at) { stop_admission_.BeginStop(ends_at); }

bool gateway::RefusedByStop(const arrived_request& arrived, const route& matched) {
  const time_point now = ports_.time->Now();
  const duration limit = arrived.terms.time_limit.value_or(matched.timeout);
  const duration time_left = arrived.at + std::min(limit, matched.timeout) - now;
  if (stop_admission_.MayTake(matched.name, time_left, now)) return false;
  RefuseUnplaced(arrived, 503, kStopping, kRetryElsewhere);
  return true;
}

void gateway::EndAll() {
  for (const arrived_request& waiting : resumes_.TakeAll())
    RefuseUnplaced(waiting, 503, kStopping, kRetryElsewhere);
  std::vector<request_id> open;
  for (const auto& [id, each] : exchanges_) open.push_back(id);
  for (const request_id id : open) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) continue;
    exchange& each = found->second;
    // Only a prefill, or nothing, may be open: the request itself has not run.
    const bool not_run = each.runs == 0 && !each.head_sent;
    Cancel(each);
    DropHandle(each);
    if (each.caller_gone) {
      Close(each, "caller_gone", 0);
    } else if (not_run) {
      AnswerCaller(each, ProblemAnswer(503, kStopping, kRetryElsewhere),
                   relay_outcome::kUnavailable);
      Close(each, "refused", 503);
    } else {
      FailUnknown(each, kStopping, 502);
    }
  }
}

}  // namespace hawthorndrum
