/// Sends orders and tracks them to their end.
#include "gateway/stage_controller.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/log_record.h"
#include "gateway/gateway.h"
#include "gateway/gateway_config.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "ports/random_source.h"
#include "scaling/fleet_outlook.h"
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
/** The largest share of a service's engines that may be changing. */
constexpr double kMaxChangingShare = 1.0 / 3;
/** The highest utilisation of a stage's other engines at which a busy one may leave it. */
constexpr double kMaxUtilisationOfRest = 0.8;
/** Caps the time since the last plan; a pause of this process is no time under the present load. */
constexpr duration kMaxPlanned = 2 * kPlanPeriod;
/** Requests that wait for slots count up to this many times the slots. */
constexpr double kMaxOccupied = 1.5;
/** Engines that start together are all listed once none was added for this long. */
constexpr duration kListingTime = milliseconds(1500);
/** Below this, in engines, a load is stray requests and no mix to follow. */
constexpr double kMinLoad = 0.02;

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
                                   const clock& time, random_source& random, event_log& log,
                                   const stage_plan_limits& limits)
    : gateway_(served),
      lease_(lease),
      engines_(engines),
      time_(time),
      random_(random),
      log_(log),
      limits_(limits) {}

void stage_controller::Run(time_point now) {
  const bool holds = lease_.Holds();
  if (holds != held_) {
    held_ = holds;
    held_since_ = now;
    // What was observed under an earlier lease may be long past.
    plans_.clear();
    log_.Write(log_importance::kImportant,
               log_record(holds ? "lease_gained" : "lease_lost")
                   .Number("term", static_cast<std::int64_t>(lease_.term().value()))
                   .Number("open_orders", static_cast<std::int64_t>(open_.size())));
  }
  CloseEnded(now);
  if (!holds) return;
  // The first holder has no predecessor.
  const bool first = lease_.term() == kFirstTerm;
  const bool may_order = first || now - held_since_ >= kTakeoverPause;
  Plan(may_order, now);
  if (may_order) SendDue(now);
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

void stage_controller::Plan(bool may_order, time_point now) {
  const auto config = gateway_.config();
  if (!config || now - planned_at_ < kPlanPeriod) return;
  const duration elapsed = std::min<duration>(now - planned_at_, kMaxPlanned);
  planned_at_ = now;
  for (const gateway_service& service : config->services) {
    if (service.is_engine) PlanService(service, elapsed, may_order, now);
  }
}

std::vector<planned_engine> stage_controller::EnginesOf(const gateway_service& service,
                                                        time_point now) const {
  std::vector<planned_engine> engines;
  for (const fleet_upstream* row : gateway_.fleet().OfService(service.name)) {
    if (!row->takes_work(now) || row->entry.stage == engine_stage::kNone) continue;
    planned_engine each{row->id, row->entry.stage, row->entry.data_centre, row->all_work().running,
                        false};
    const auto open = open_.find(row->id);
    if (open != open_.end()) each.stage = open->second.stage;
    each.keeps_stage = open != open_.end() || row->said.WantsNothing(now);
    engines.push_back(std::move(each));
  }
  return engines;
}

stage_load stage_controller::LoadOf(const gateway_service& service, time_point now) const {
  stage_load load;
  load.prefill = gateway_.PrefillLoad(service.name, now);
  for (const fleet_upstream* row : gateway_.fleet().OfService(service.name)) {
    if (!row->takes_work(now) || row->entry.stage != engine_stage::kDecode) continue;
    const double occupied =
        static_cast<double>(row->all_work().running) / std::max<std::uint32_t>(1, row->entry.slots);
    load.decode += std::min(occupied, kMaxOccupied);
  }
  return load;
}

std::size_t stage_controller::WantedPrefill(service_plan& plan,
                                            const std::vector<planned_engine>& engines,
                                            stage_load load, duration elapsed,
                                            time_point now) const {
  const std::size_t present = PrefillCount(engines);
  if (engines.size() != plan.engines) {
    plan.engines = engines.size();
    plan.complete_at = now + kListingTime;
  }
  if (plan.saw_load) {
    plan.planner.Observe(engines.size(), load, elapsed);
    return plan.planner.HasObserved() ? plan.planner.Wanted(engines.size(), present) : present;
  }
  // The first holder's fleet is new; a later one's stages were planned under load.
  const bool is_new = lease_.took_missing() && now >= plan.complete_at;
  return is_new ? plan.planner.Initial(engines.size()) : present;
}

void stage_controller::PlanService(const gateway_service& service, duration elapsed, bool may_order,
                                   time_point now) {
  service_plan& plan = plans_.try_emplace(service.name, limits_).first->second;
  std::vector<planned_engine> engines = EnginesOf(service, now);
  const stage_load load = LoadOf(service, now);
  plan.saw_load = plan.saw_load || load.prefill + load.decode > kMinLoad;
  if (!plan.saw_load && outlook_ != nullptr && outlook_->IsChanging(service.name, now)) {
    if (may_order && lease_.took_missing()) PlanExchange(service, plan, engines, now);
    return;
  }
  const std::size_t present = PrefillCount(engines);
  const std::size_t wanted = WantedPrefill(plan, engines, load, elapsed, now);
  if (!may_order || wanted == present) return;
  if (wanted != plan.logged) {
    plan.logged = wanted;
    log_.Write(log_importance::kImportant,
               log_record("stages_planned")
                   .Text("service", service.name)
                   .Number("engines", static_cast<std::int64_t>(engines.size()))
                   .Number("prefill", static_cast<std::int64_t>(present))
                   .Number("wanted", static_cast<std::int64_t>(wanted))
                   .Decimal("prefill_load", plan.planner.prefill_load().mean)
                   .Decimal("prefill_deviation", plan.planner.prefill_load().deviation)
                   .Decimal("decode_load", plan.planner.decode_load().mean)
                   .Decimal("decode_deviation", plan.planner.decode_load().deviation));
  }
  const auto limit =
      static_cast<std::size_t>(static_cast<double>(engines.size()) * kMaxChangingShare);
  OpenChanges(PlanStages(engines, wanted), engines, load, limit, now);
}

void stage_controller::PlanExchange(const gateway_service& service, const service_plan& plan,
                                    const std::vector<planned_engine>& engines, time_point now) {
  const planned_fleet planned = outlook_->Planned(service.name);
  std::vector<planned_engine> stay;
  std::vector<planned_engine> others;
  for (const planned_engine& each : engines) {
    const bool stays = gateway_.fleet().Find(each.id)->entry.reclaimable;
    (stays ? stay : others).push_back(each);
  }
  if (stay.empty() || others.empty()) return;
  const double share =
      static_cast<double>(PrefillCount(others)) / static_cast<double>(others.size());
  const auto all = static_cast<double>(plan.planner.Initial(planned.lasting + planned.reclaimable));
  const double missing = std::max(0.0, all - share * static_cast<double>(planned.lasting));
  const std::size_t wanted = std::min(stay.size(), static_cast<std::size_t>(std::lround(missing)));
  if (wanted > PrefillCount(stay))
    OpenChanges(PlanStages(stay, wanted), stay, {}, stay.size(), now);
}

void stage_controller::OpenChanges(const std::vector<stage_change>& changes,
                                   std::vector<planned_engine>& engines, stage_load load,
                                   std::size_t limit, time_point now) {
  for (const stage_change& change : changes) {
    if (!open_.empty() && open_.size() >= limit) return;
    const auto changing =
        std::find_if(engines.begin(), engines.end(),
                     [&](const planned_engine& each) { return each.id == change.engine; });
    const engine_stage from = changing->stage;
    const auto staying =
        static_cast<double>(std::count_if(engines.begin(), engines.end(),
                                          [&](const planned_engine& each) {
                                            return each.stage == from && !each.keeps_stage;
                                          }) -
                            1);
    const double load_from = from == engine_stage::kPrefill ? load.prefill : load.decode;
    const bool rest_carries = load_from <= staying * kMaxUtilisationOfRest;
    if (!open_.empty() && changing->running > 0 && !rest_carries) return;
    changing->stage = change.stage;
    changing->keeps_stage = true;
    Open(change, now);
  }
}

void stage_controller::Open(const stage_change& change, time_point now) {
  open_change opened;
  opened.stage = change.stage;
  opened.send_at = now + kAnnouncementTime;
  opened.timeout_at = now + kChangeTime;
  open_[change.engine] = opened;
  fleet_upstream* row = gateway_.fleet().Find(change.engine);
  row->changes_until = row->avoid_until = opened.timeout_at;
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
