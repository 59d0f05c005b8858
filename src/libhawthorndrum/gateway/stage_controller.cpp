/// Sends orders and tracks them to their end.
#include "gateway/stage_controller.h"

#include <algorithm>
#include <vector>

#include "base/log_record.h"
#include "gateway/gateway.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "ports/random_source.h"
#include "systems/lease_system.h"

namespace hawthorndrum {

namespace {

constexpr lease_term kFirstTerm(1);
constexpr duration kPlanPeriod = milliseconds(500);
/** Several notices reach the other daemons within this time. */
constexpr duration kAnnouncementTime = milliseconds(400);
/** An engine finishes its requests and is back a few seconds after it accepted the order. */
constexpr duration kChangeTime = seconds(8);
/** An order without an answer may still be carried out this much later. */
constexpr duration kLateOrderTime = seconds(14);
constexpr duration kRetryRefused = seconds(2);
constexpr duration kSendWithin = milliseconds(500);
/**
 * Limit the changes in progress to a part of a service's engines: another engine may change while
 * fewer than a third are changing if it is idle, as after a start, or fewer than an eighth if not.
 */
constexpr std::size_t kIdleDivisor = 3;
constexpr std::size_t kBusyDivisor = 8;

std::string_view NameOf(order_outcome outcome) {
  switch (outcome) {
    case order_outcome::kAccepted:
      return "accepted";
    case order_outcome::kStaleTerm:
      return "stale_term";
    case order_outcome::kBusy:
      return "busy";
    case order_outcome::kNotSent:
      return "not_sent";
    case order_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

stage_controller::stage_controller(gateway& served, const lease_system& lease, engine_port& engines,
                                   const clock& time, random_source& random, event_log& log)
    : gateway_(served), lease_(lease), engines_(engines), time_(time), random_(random), log_(log) {}

void stage_controller::Run(time_point now) {
  const bool holds = lease_.Holds();
  if (holds != held_) {
    held_ = holds;
    held_since_ = now;
    log_.Write(log_importance::kImportant,
               log_record(holds ? "lease_gained" : "lease_lost")
                   .Number("term", static_cast<std::int64_t>(lease_.term().value()))
                   .Number("open_orders", static_cast<std::int64_t>(open_.size())));
  }
  CloseEnded(now);
  if (!holds) return;
  // The first holder has no predecessor.
  const bool first = lease_.term() == kFirstTerm;
  if (!first && now - held_since_ < kTakeoverPause) return;
  OpenNew(now);
  SendDue(now);
}

void stage_controller::CloseEnded(time_point now) {
  for (auto it = open_.begin(); it != open_.end();) {
    fleet_upstream* row = gateway_.fleet().Find(it->first);
    const bool gone = row == nullptr || !row->takes_work(now);
    const bool done = !gone && row->entry.stage == it->second.stage;
    if (!gone && !done && now < it->second.timeout_at) {
      ++it;
      continue;
    }
    if (row != nullptr) row->changes_until = now;
    log_.Write(log_importance::kImportant,
               log_record("order_ended")
                   .Text("upstream", row == nullptr ? "" : row->entry.id)
                   .Text("end", gone   ? "gone"
                                : done ? "done"
                                       : "not_seen"));
    it = open_.erase(it);
  }
}

void stage_controller::OpenNew(time_point now) {
  const auto config = gateway_.config();
  if (!config || now < next_plan_) return;
  next_plan_ = now + kPlanPeriod;
  for (const gateway_service& service : config->services) {
    if (!service.is_engine) continue;
    std::vector<planned_engine> engines;
    for (const fleet_upstream* row : gateway_.fleet().OfService(service.name)) {
      if (!row->takes_work(now) || row->entry.stage == engine_stage::kNone) continue;
      planned_engine each{row->id, row->entry.stage, row->entry.data_centre,
                          row->all_work().running, false};
      const auto open = open_.find(row->id);
      each.changing = open != open_.end();
      if (each.changing) each.stage = open->second.stage;
      engines.push_back(std::move(each));
    }
    const std::size_t idle_limit = std::max<std::size_t>(1, engines.size() / kIdleDivisor);
    const std::size_t busy_limit = std::max<std::size_t>(1, engines.size() / kBusyDivisor);
    for (const stage_change& change : PlanStages(engines, {}, 1)) {
      const bool idle = gateway_.fleet().Find(change.engine)->all_work().running == 0;
      if (open_.size() >= (idle ? idle_limit : busy_limit)) break;
      open_change opened;
      opened.stage = change.stage;
      opened.send_at = now + kAnnouncementTime;
      opened.timeout_at = now + kChangeTime;
      open_[change.engine] = opened;
      fleet_upstream* row = gateway_.fleet().Find(change.engine);
      row->changes_until = row->avoid_until = opened.timeout_at;
    }
  }
}

void stage_controller::SendDue(time_point now) {
  for (auto& [engine, change] : open_) {
    if (!change.sent && now >= change.send_at) Send(engine, change, now);
  }
}

void stage_controller::Send(upstream_id engine, open_change& change, time_point now) {
  const fleet_upstream* row = gateway_.fleet().Find(engine);
  if (row == nullptr) return;
  change.sent = true;
  change.order = order_id(random_.Draw());
  engine_order order;
  order.id = change.order;
  order.term = lease_.term();
  order.engine = engine;
  order.role =
      change.stage == engine_stage::kPrefill ? engine_role::kPrefill : engine_role::kDecode;
  order.engine_name = row->entry.id;
  order.send_by = std::min(lease_.valid_until(), now + kSendWithin);
  log_.Write(log_importance::kImportant,
             log_record("order_sent")
                 .Text("upstream", row->entry.id)
                 .Text("stage", change.stage == engine_stage::kPrefill ? "prefill" : "decode")
                 .Number("term", static_cast<std::int64_t>(order.term.value()))
                 .Number("running", row->all_work().running));
  engines_.Order(row->entry.address, order, *this);
}

void stage_controller::OnOrderAnswer(const order_answer& answer) {
  const time_point now = time_.Now();
  for (auto& [engine, change] : open_) {
    if (change.order != answer.id) continue;
    log_.Write(log_importance::kImportant,
               log_record("order_answered").Text("outcome", NameOf(answer.outcome)));
    if (answer.outcome == order_outcome::kAccepted) {
      change.timeout_at = now + kChangeTime;
    } else if (answer.outcome == order_outcome::kUnknown) {
      change.timeout_at = now + kLateOrderTime;
    } else {
      change.timeout_at = now + kRetryRefused;
    }
    return;
  }
}

}  // namespace hawthorndrum
