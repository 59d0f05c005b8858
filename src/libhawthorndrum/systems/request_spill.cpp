/// The request path: requests spilled to or from other data centres.
#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/random_source.h"
#include "ports/upstream_port.h"
#include "systems/request_system.h"
#include "systems/upstream_request.h"

namespace hawthorndrum {

namespace {

refusal NoRoomForSpilled() {
  return {503, outcome::kNotRun, "spill_refused",
          "this data centre takes no more of that service's requests from others", seconds(1)};
}

}  // namespace

std::optional<refusal> request_system::Admit(const request_row& request, time_point now) {
  return request.spilled ? AdmitSpilled(request, now) : admission_.Admit(request, now);
}

std::optional<refusal> request_system::AdmitSpilled(const request_row& request, time_point now) {
  const auto choice = routing_.Choose(request, now);
  // Only an idle upstream takes it: elsewhere it would slow this data centre's own requests.
  const bool starts_at_once = choice && choice->best().estimate.is_idle &&
                              admission_.queued() == 0 && admission_.MayOpen(request) &&
                              admission_.HasRoom(request, choice->best().estimate, now);
  const bool clear = poison_.StandingOf(request.fingerprint, now) == fingerprint_standing::kClear;
  if (!starts_at_once || !clear || !spill_.Admit(request, now)) return NoRoomForSpilled();
  auto why = admission_.Admit(request, now);
  if (why) spill_.ReleaseAdmitted(*request.service);
  return why;
}

std::optional<spill_target> request_system::ChooseSpillTarget(const request_row& request,
                                                              const refusal& why, time_point now) {
  if (why.code != "no_upstream" && why.code != "too_late") return std::nullopt;
  if (poison_.StandingOf(request.fingerprint, now) != fingerprint_standing::kClear) {
    return std::nullopt;
  }
  return spill_.Choose(request, now);
}

void request_system::SpillOver(request_row& request, const spill_target& to, time_point now) {
  admission_.Dequeue(request.id);
  admission_.OnAttemptOpened(request, now);
  attempts_total_.Add();
  attempt_row attempt;
  attempt.id = attempt_id(ports_.random->Draw());
  attempt.request = request.id;
  attempt.upstream = UpstreamIdOf(to.address);
  attempt.spilled_to = to.data_centre;
  attempt.sent = now;
  attempt.span = ports_.random->Draw();
  request.state = request_state::kInFlight;
  request.attempt = attempt.id;
  request.spill_tried = true;
  request.preferred = upstream_id();
  decisions_.Note(request.id, now, "handed to " + to.address + " in " + to.data_centre);
  http_request out = UpstreamRequest(request, attempt);
  out.target = "/services/" + request.service->name + request.path;
  const auto left = std::max<std::int64_t>(1, ToMilliseconds(request.useful_by - now));
  SetHeader(out.headers, "X-Request-Deadline-Ms", std::to_string(left));
  spill_.Mark(out, attempt.id);
  const attempt_id id = attempt.id;
  attempts_.Insert(std::move(attempt));
  ports_.upstream->Send(id, to.address, std::move(out));
}

void request_system::OnSpillFailed(request_row& request, const attempt_problem& problem,
                                   time_point now) {
  request.attempt = attempt_id();
  // A body that is forwarded as it arrives can't be started again.
  const bool is_forwarded = request.answer_begun && !request.stream;
  if (request.refused_here || is_forwarded) return Fail(request, problem.why);
  if (problem.may_have_run && !MayRetry(request, false, now)) return Fail(request, problem.why);
  Queue(request, now);
}

}  // namespace hawthorndrum
