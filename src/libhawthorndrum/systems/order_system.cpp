/// The stages of a change, from its proposal to its end.
#include "systems/order_system.h"

#include <utility>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/random_source.h"

namespace hawthorndrum {
namespace {

tl::unexpected<error> Refuse(error_code code, const char* why) {
  return tl::unexpected(error{code, why});
}

}  // namespace

order_system::order_system(lease_system& lease, planned_change_system& marks, object_store& store,
                           engine_port& engines, peer_port& peers, upstream_table& upstreams,
                           const clock& clock, random_source& random, metrics_registry& metrics,
                           std::string data_centre, incarnation_id self, order_limits limits)
    : lease_(lease),
      marks_(marks),
      engines_(engines),
      peers_(peers),
      upstreams_(upstreams),
      clock_(clock),
      random_(random),
      data_centre_(std::move(data_centre)),
      self_(self),
      limits_(limits),
      record_(store, clock, random, metrics, "journals/" + data_centre_, *this),
      sent_(metrics.Counter("hawthorndrum_orders_sent_total")),
      ended_(metrics.Counter("hawthorndrum_orders_ended_total")),
      failed_(metrics.Counter("hawthorndrum_orders_failed_total")),
      given_up_(metrics.Counter("hawthorndrum_orders_given_up_total")),
      refused_stale_(metrics.Counter("hawthorndrum_orders_refused_stale_total")),
      held_back_(metrics.Counter("hawthorndrum_engines_held_back")),
      bad_messages_(metrics.Counter("hawthorndrum_bad_peer_messages_total",
                                    MetricLabel("topic", "authority"))) {
  lease_.AddListener(*this);
  marks_.SetListener(*this);
}

void order_system::Run(time_point now) {
  record_.Run(now);
  if (!lease_.Holds()) return;
  if (sealing_ && record_.idle()) record_.Read();
  if (!sealed_) return;
  NoteConsumedCopies();
  for (auto it = changes_.begin(); it != changes_.end();) {
    engine_change& change = (it++)->second;
    RunChange(change, now);
  }
  RunIssuers(now);
  if (now >= next_poll_) {
    next_poll_ = now + limits_.poll_every;
    for (const auto& [engine, change] : changes_) {
      if (const upstream* row = upstreams_.Find(engine)) engines_.PollLoad(engine, row->address);
    }
  }
  AnnounceChanges(now, false);
  if (record_.idle()) WriteJournal();
}

expected<void> order_system::MayOrder(upstream_id engine) const {
  if (!lease_.Holds()) return Refuse(error_code::kConflict, "the lease is not held here");
  if (!sealed_) return Refuse(error_code::kUnavailable, "the journal is not sealed yet");
  const upstream* row = upstreams_.Find(engine);
  const bool known = row != nullptr && row->kind == host_kind::kEngine;
  if (!known) return Refuse(error_code::kNotFound, "no such engine");
  if (!row->has_report) return Refuse(error_code::kUnavailable, "the engine has not reported yet");
  if (row->leaving.any()) return Refuse(error_code::kConflict, "the engine is leaving");
  if (IsChanging(engine)) return Refuse(error_code::kConflict, "an order is open");
  if (changes_.size() >= limits_.open_changes) {
    return Refuse(error_code::kUnavailable, "too many changes are open");
  }
  const auto found = journal_.rows.find(engine);
  if (found == journal_.rows.end()) return {};
  if (found->second.open) return Refuse(error_code::kConflict, "an order is unresolved");
  if (IsHeldBack(found->second, *row)) {
    return Refuse(error_code::kConflict, "an older order may still arrive at the engine");
  }
  return {};
}

expected<order_id> order_system::Propose(const order_request& request) {
  if (const expected<void> ok = MayOrder(request.engine); !ok) return tl::unexpected(ok.error());
  engine_change change;
  change.order.id = order_id(random_.Draw());
  change.order.engine = request.engine;
  change.order.kind = request.kind;
  change.order.role = request.role;
  change.order.model = request.model;
  change.order.version = request.version;
  change.order.adapter = request.adapter;
  change.began = clock_.Now();
  engine_change& added = changes_[request.engine] = change;
  EnterStage(added, NeedsDrain(request.kind) ? change_stage::kDraining : change_stage::kCommitting);
  return change.order.id;
}

void order_system::Prepare(engine_change& change) {
  EnterStage(change,
             NeedsDrain(change.order.kind) ? change_stage::kFirm : change_stage::kCommitting);
}

void order_system::EnterStage(engine_change& change, change_stage stage) {
  change.stage = stage;
  change.stage_began = clock_.Now();
  change.in_write = false;
  change.acknowledgements.clear();
  // The next announcement is the first that includes this stage.
  change.stage_number = announcement_ + 1;
  next_announcement_ = clock_.Now();
}

void order_system::RunChange(engine_change& change, time_point now) {
  const upstream* row = upstreams_.Find(change.order.engine);
  change.missing_since = row != nullptr || !change.missing ? now : change.missing_since;
  change.missing = row == nullptr;
  if (row == nullptr) return AbandonMissing(change, now);
  if (change.journalled && change.stage != change_stage::kEnded && HasEnded(change, *row)) {
    change.failed = row->report.last_order_progress == order_progress::kFailed;
    return EnterStage(change, change_stage::kEnded);
  }
  switch (change.stage) {
    case change_stage::kDraining:
    case change_stage::kFirm:
      return RunDraining(change, now);
    case change_stage::kReady:
      return RunReady(change, now);
    case change_stage::kSent:
      return RunSent(change, now);
    case change_stage::kCommitting:
    case change_stage::kEnded:
      return;
  }
}

void order_system::AbandonMissing(engine_change& change, time_point now) {
  if (now - change.missing_since < limits_.gone) return;
  if (change.stage == change_stage::kCommitting || change.stage == change_stage::kEnded) return;
  given_up_.Add();
  change.failed = true;
  if (change.journalled) return EnterStage(change, change_stage::kEnded);
  changes_.erase(change.order.engine);
  next_announcement_ = now;
}

bool order_system::HasEnded(const engine_change& change, const upstream& row) const {
  const load_report& report = row.report;
  if (!row.has_report || report.last_order != change.order.id) return false;
  const bool over = report.last_order_progress == order_progress::kDone ||
                    report.last_order_progress == order_progress::kFailed;
  const auto copies = copies_.find(row.id);
  const bool outstanding = copies != copies_.end() && copies->second.outstanding > 0;
  return over && !outstanding;
}

bool order_system::AllDaemonsAcknowledged(const engine_change& change) const {
  const auto acknowledged = [&](peer_id peer) {
    if (peer == peers_.self()) return true;
    const auto acknowledgement = change.acknowledgements.find(peer);
    return acknowledgement != change.acknowledgements.end() &&
           acknowledgement->second.number >= change.stage_number &&
           acknowledgement->second.in_flight == 0;
  };
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre && !acknowledged(peer.id)) return false;
  }
  for (const peer_id peer : listed_) {
    if (!acknowledged(peer)) return false;
  }
  return true;
}

bool order_system::IsDrained(const engine_change& change, const upstream& row) const {
  const bool empty = row.own_in_flight == 0 && row.report.running == 0 && row.report.queued == 0;
  const bool fresh = row.has_report && row.report_time > change.stage_began;
  return empty && fresh && AllDaemonsAcknowledged(change);
}

void order_system::RunDraining(engine_change& change, time_point now) {
  const upstream& row = *upstreams_.Find(change.order.engine);
  const bool may_abandon = !change.journalled;
  if (may_abandon && (row.leaving.any() || now - change.began >= limits_.drain)) {
    given_up_.Add();
    next_announcement_ = now;
    changes_.erase(change.order.engine);
    return;
  }
  if (!IsDrained(change, row)) return;
  EnterStage(change, change.stage == change_stage::kDraining ? change_stage::kFirm
                                                             : change_stage::kCommitting);
}

void order_system::RunReady(engine_change& change, time_point now) {
  if (now < change.next_send) return;
  const upstream& row = *upstreams_.Find(change.order.engine);
  const auto copies = copies_.find(row.id);
  if (copies != copies_.end() && copies->second.outstanding > 0) return;
  SendCopy(change, row, now);
}

void order_system::SendCopy(engine_change& change, const upstream& row, time_point now) {
  change.order.send_by = lease_.valid_until();
  // The last check of the clock in the core; the port checks again before it writes the bytes.
  if (!lease_.Holds()) return;
  sent_copies& copies = copies_[row.id];
  copies.order = change.order.id;
  copies.outstanding += 1;
  change.sent_to_run = row.report.engine_incarnation;
  change.sent_at = now;
  change.stage = change_stage::kSent;
  sent_.Add();
  engines_.Order(row.address, change.order, *this);
}

void order_system::RunSent(engine_change& change, time_point now) {
  const upstream& row = *upstreams_.Find(change.order.engine);
  sent_copies& copies = copies_[row.id];
  if (copies.outstanding > 0) return;
  const bool restarted = row.has_report && row.report.engine_incarnation != change.sent_to_run;
  if (restarted && !copies.unanswered) return Prepare(change);
  if (!copies.unanswered || now - change.sent_at < limits_.confirm) return;
  if (row.report.last_order == change.order.id) return;
  journal_row& journalled = journal_.rows[row.id];
  if (!row.checks_fencing) MarkUncertain(journalled);
  Prepare(change);
}

void order_system::OnOrderAnswer(const order_answer& answer) {
  for (auto& [engine, copies] : copies_) {
    if (copies.order != answer.id || copies.outstanding == 0) continue;
    copies.outstanding -= 1;
    if (answer.outcome == order_outcome::kUnknown) copies.unanswered = true;
  }
  for (auto& [engine, change] : changes_) {
    if (change.order.id != answer.id || change.stage != change_stage::kSent) continue;
    if (answer.outcome == order_outcome::kStaleTerm) {
      refused_stale_.Add();
      lease_.NoteTerm(TermOfFencingNumber(answer.seen_term));
      if (!lease_.Holds()) return;
      // The engine has seen a later order of this same term: take a new fencing number.
      return Prepare(change);
    }
    const bool retry =
        answer.outcome == order_outcome::kBusy || answer.outcome == order_outcome::kNotSent;
    if (!retry) return;
    change.stage = change_stage::kReady;
    change.next_send = clock_.Now() + limits_.resend_after;
    return;
  }
}

void order_system::OnChangesSeen(peer_id from, const planned_changes_seen& seen) {
  if (!lease_.Holds() || seen.term != lease_.term()) return;
  for (const engine_in_flight& engine : seen.engines) {
    const auto found = changes_.find(engine.engine);
    if (found == changes_.end()) continue;
    change_acknowledgement& acknowledgement = found->second.acknowledgements[from];
    if (seen.number >= acknowledgement.number) acknowledgement = {seen.number, engine.in_flight};
  }
}

void order_system::AnnounceChanges(time_point now, bool at_once) {
  if (!at_once && now < next_announcement_) return;
  next_announcement_ = now + limits_.announce_every;
  planned_changes all;
  all.term = lease_.term();
  all.number = ++announcement_;
  for (const auto& [engine, change] : changes_) {
    if (!NeedsDrain(change.order.kind) || change.stage == change_stage::kEnded) continue;
    all.changes.push_back({engine, change.order.id, change.stage != change_stage::kDraining});
  }
  marks_.Announce(std::move(all));
}

void order_system::OnLeaseGained(lease_term) {
  changes_.clear();
  queries_.clear();
  uncertain_since_.clear();
  unreadable_ = false;
  sealed_ = false;
  sealing_ = true;
  dirty_ = false;
  announcement_ = 0;
  next_announcement_ = clock_.Now();
}

void order_system::OnLeaseLost(lease_term) {
  // The next holder adopts the journalled orders; their firm marks stay until it announces.
  changes_.clear();
  sealed_ = false;
  sealing_ = false;
  record_.Abandon();
}

}  // namespace hawthorndrum
