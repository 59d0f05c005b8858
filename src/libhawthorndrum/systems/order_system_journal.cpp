/// Sealing and writing the journal of orders.
#include <algorithm>
#include <utility>

#include "ports/clock.h"
#include "ports/random_source.h"
#include "systems/order_system.h"

namespace hawthorndrum {

void order_system::OnRecordRead(const record_state& state) {
  if (!lease_.Holds()) return;
  if (sealed_) {
    // Another process wrote the journal that this one had sealed.
    sealed_ = false;
    sealing_ = true;
    changes_.clear();
  }
  if (sealing_) Seal(state);
}

void order_system::Seal(const record_state& state) {
  expected<order_journal> found = order_journal{};
  if (state.version) found = DecodeJournal(state.value);
  if (!found) {
    unreadable_ = true;
    sealing_ = false;
    return;
  }
  const bool ours = found->issuer == self_;
  if (lease_.term() < found->term || (lease_.term() == found->term && !ours)) {
    return lease_.NoteTerm(lease_term(found->term.value() + 1));
  }
  journal_ = *std::move(found);
  if (journal_.term < lease_.term()) journal_.next_number = 1;
  journal_.term = lease_.term();
  journal_.issuer = self_;
  SubmitJournal();
}

void order_system::SubmitJournal() {
  journal_.nonce = random_.Draw();
  written_term_ = journal_.term;
  dirty_ = false;
  record_.Write(EncodeJournal(journal_));
}

void order_system::OnRecordWritten(const record_state& state, time_point) {
  if (!lease_.Holds()) return;
  if (written_term_ != lease_.term()) {
    if (sealing_) Seal(state);
    return;
  }
  if (!sealing_) return AfterWrite();
  sealing_ = false;
  sealed_ = true;
  sealed_at_ = clock_.Now();
  AdoptOpenOrders();
}

void order_system::AdoptOpenOrders() {
  for (const auto& [engine, row] : journal_.rows) {
    if (!row.open) continue;
    engine_change change;
    change.order = row.order;
    change.adopted = true;
    change.journalled = true;
    change.began = clock_.Now();
    engine_change& added = changes_[engine] = change;
    Prepare(added);
  }
}

void order_system::WriteJournal() {
  bool any = dirty_;
  for (auto& [engine, change] : changes_) {
    const bool commits = change.stage == change_stage::kCommitting;
    const bool ends = change.stage == change_stage::kEnded;
    if (!commits && !ends) continue;
    if (commits && journal_.next_number > kLargestOrderNumber) continue;
    if (commits) Commit(change);
    if (ends) End(change);
    change.in_write = true;
    any = true;
  }
  if (any) SubmitJournal();
}

void order_system::Commit(engine_change& change) {
  change.order.term = FencingNumber(lease_.term(), journal_.next_number++);
  journal_row& row = journal_.rows[change.order.engine];
  const upstream* engine = upstreams_.Find(change.order.engine);
  row.engine = change.order.engine;
  if (engine != nullptr) row.address = engine->address;
  if (!row.open) row.uncertain = false;  // Propose() checked that the engine is not held back.
  row.open = true;
  row.order = change.order;
  row.ended = order_progress::kNone;
  const bool listed =
      std::any_of(row.issuers.begin(), row.issuers.end(),
                  [&](const order_issuer& issuer) { return issuer.incarnation == self_; });
  if (!listed) row.issuers.push_back({self_, peers_.self(), false});
}

void order_system::End(const engine_change& change) {
  journal_row& row = journal_.rows[change.order.engine];
  row.open = false;
  row.ended = change.failed ? order_progress::kFailed : order_progress::kDone;
  const upstream* engine = upstreams_.Find(row.engine);
  if (engine != nullptr && engine->checks_fencing) {
    row.issuers.clear();
    row.uncertain = false;
    copies_.erase(row.engine);
    return;
  }
  row.issuers.erase(
      std::remove_if(row.issuers.begin(), row.issuers.end(),
                     [&](const order_issuer& issuer) { return issuer.incarnation == self_; }),
      row.issuers.end());
  const auto copies = copies_.find(row.engine);
  if (copies == copies_.end()) return;
  // The engine reported the order, so a single copy has arrived and none is in flight.
  const bool arrived = engine != nullptr && !row.uncertain;
  if (copies->second.outstanding > 0 || (copies->second.unanswered && !arrived)) {
    MarkUncertain(row);
  }
  if (copies->second.outstanding == 0) copies_.erase(copies);
}

void order_system::AfterWrite() {
  for (auto it = changes_.begin(); it != changes_.end();) {
    engine_change& change = it->second;
    if (!std::exchange(change.in_write, false)) {
      ++it;
      continue;
    }
    if (change.stage == change_stage::kEnded) {
      (change.failed ? failed_ : ended_).Add();
      next_announcement_ = clock_.Now();
      it = changes_.erase(it);
      continue;
    }
    change.journalled = true;
    change.stage = change_stage::kReady;
    change.next_send = clock_.Now();
    ++it;
  }
}

}  // namespace hawthorndrum
