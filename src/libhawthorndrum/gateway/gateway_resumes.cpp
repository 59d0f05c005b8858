/// Resumes streams that began in an earlier attempt of the caller, maybe at another daemon.
#include <optional>
#include <utility>

#include "gateway/gateway.h"
#include "origins/stream_origins.h"
#include "ports/clock.h"

namespace hawthorndrum {

namespace {

/** Daemons that did not answer may have been cut off for a moment. */
constexpr duration kRetryOriginUnknown = milliseconds(500);

}  // namespace

void gateway::SetFleetKnown() {
  fleet_known_ = true;
  resumes_.only().OnListRead(ports_.time->Now());
}

void gateway::OnOrigin(stream_key key, std::optional<software_build> build) {
  resumes_.OnOrigin(key, build);
}

void gateway::OnResumeKnown(arrived_request arrived, software_build build) {
  Admit(std::move(arrived), build);
}

void gateway::OnResumeUnknown(const arrived_request& arrived) {
  RefuseUnplaced(arrived, 503, "stream_origin_unknown", kRetryOriginUnknown);
}

const weighted_service* gateway::TargetOfBuild(const route& matched, software_build build,
                                               time_point now) {
  for (const weighted_service& target : matched.targets) {
    for (const fleet_upstream* row : fleet_.OfService(target.service)) {
      if (row->build == build && row->takes_work(now)) return &target;
    }
  }
  return nullptr;
}

void gateway::RecordOrigin(exchange& each, time_point now) {
  each.build = each.call.build;
  if (each.matched->resumable) ports_.origins->Record({each.key, each.build}, now);
}

}  // namespace hawthorndrum
