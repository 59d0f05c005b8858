/// Tracks processes of older terms that may still send orders to an engine without fencing checks.
#include <algorithm>

#include "base/hash.h"
#include "ports/clock.h"
#include "ports/random_source.h"
#include "systems/order_system.h"

namespace hawthorndrum {
namespace {

/** How much older an engine's report may be than the time that the daemon records for it. */
constexpr duration kReportLag = seconds(5);

}  // namespace

void order_system::NoteConsumedCopies() {
  for (const auto& [engine, change] : changes_) {
    if (!change.adopted || change.stage >= change_stage::kSent) continue;
    const upstream* row = upstreams_.Find(engine);
    journal_row& journalled = journal_.rows[engine];
    const bool one_issuer = journalled.issuers.size() == 1 &&
                            journalled.issuers[0].incarnation != self_ &&
                            !journalled.issuers[0].consumed;
    const bool reported =
        row != nullptr && row->has_report && row->report.last_order == change.order.id;
    if (!one_issuer || !reported || journalled.uncertain) continue;
    journalled.issuers[0].consumed = true;
    dirty_ = true;
  }
}

void order_system::RunIssuers(time_point now) {
  if (now < next_query_) return;
  next_query_ = now + limits_.query_every;
  std::uint64_t held_back = 0;
  for (auto& [engine, row] : journal_.rows) {
    const upstream* upstream = upstreams_.Find(engine);
    if (upstream == nullptr || upstream->checks_fencing) continue;
    NoteRunOfUncertain(row, *upstream);
    if (!row.open && IsHeldBack(row, *upstream)) ++held_back;
    for (std::size_t i = row.issuers.size(); i-- > 0;) {
      const order_issuer issuer = row.issuers[i];
      if (issuer.incarnation == self_) continue;
      // The issuer has ended: this process has its address, or its host is off the host list.
      const bool gone = issuer.peer == peers_.self() || IsOffHostList(issuer.peer, now);
      if (gone) {
        DropIssuer(row, i, !issuer.consumed);
      } else {
        AskIssuer(row, issuer);
      }
    }
  }
  held_back_.Set(held_back);
}

void order_system::AskIssuer(const journal_row& row, const order_issuer& issuer) {
  open_query& query = queries_[row.engine];
  if (query.peer != issuer.peer) query = {random_.Draw(), issuer.peer};
  peers_.Send(issuer.peer, Encode(authority_query{query.nonce, row.engine, lease_.term()}));
}

void order_system::OnPeerMessage(peer_id from, const peer_message& message) {
  if (message.topic == peer_topic::kAuthorityQuery) {
    const expected<authority_query> query = DecodeAuthorityQuery(message);
    return query ? OnQuery(from, *query) : bad_messages_.Add();
  }
  if (message.topic == peer_topic::kAuthorityLost) {
    const expected<authority_reply> reply = DecodeAuthorityReply(message);
    return reply ? OnReply(from, *reply) : bad_messages_.Add();
  }
}

void order_system::OnQuery(peer_id from, const authority_query& query) {
  lease_.NoteTerm(query.term);
  const bool higher_here = lease_.Holds() && query.term < lease_.term();
  if (higher_here) return;
  const auto copies = copies_.find(query.engine);
  authority_reply reply;
  reply.nonce = query.nonce;
  reply.engine = query.engine;
  reply.incarnation = self_;
  reply.settled = copies == copies_.end() || copies->second.outstanding == 0;
  reply.uncertain = copies != copies_.end() && copies->second.unanswered;
  peers_.Send(from, Encode(reply));
}

void order_system::OnReply(peer_id from, const authority_reply& reply) {
  const auto query = queries_.find(reply.engine);
  const auto row = journal_.rows.find(reply.engine);
  if (!ready() || query == queries_.end() || row == journal_.rows.end()) return;
  if (query->second.nonce != reply.nonce || query->second.peer != from) return;
  for (std::size_t i = row->second.issuers.size(); i-- > 0;) {
    const order_issuer issuer = row->second.issuers[i];
    if (issuer.peer != from || issuer.incarnation == self_) continue;
    // The query was sent after the issuer wrote the journal, so a different process that answers
    // at its address has replaced it.
    const bool gone = issuer.incarnation != reply.incarnation;
    if (!gone && !reply.settled) continue;
    DropIssuer(row->second, i, (gone || reply.uncertain) && !issuer.consumed);
  }
  queries_.erase(query);
}

void order_system::DropIssuer(journal_row& row, std::size_t index, bool copy_may_arrive) {
  row.issuers.erase(row.issuers.begin() + static_cast<std::ptrdiff_t>(index));
  if (copy_may_arrive) MarkUncertain(row);
  dirty_ = true;
}

void order_system::MarkUncertain(journal_row& row) {
  row.uncertain = true;
  row.uncertain_run = 0;
  uncertain_since_[row.engine] = clock_.Now();
  dirty_ = true;
}

void order_system::NoteRunOfUncertain(journal_row& row, const upstream& engine) {
  if (!row.uncertain || row.uncertain_run != 0 || !engine.has_report) return;
  const auto since = uncertain_since_.find(row.engine);
  const time_point from = since == uncertain_since_.end() ? sealed_at_ : since->second;
  if (engine.report_time <= from + kReportLag) return;
  row.uncertain_run = engine.report.engine_incarnation;
  dirty_ = true;
}

bool order_system::IsHeldBack(const journal_row& row, const upstream& engine) const {
  if (engine.checks_fencing) return false;
  if (!row.issuers.empty()) return true;
  const auto copies = copies_.find(engine.id);
  if (copies != copies_.end() && copies->second.outstanding > 0) return true;
  if (!row.uncertain) return false;
  const bool restarted =
      row.uncertain_run != 0 && engine.report.engine_incarnation != row.uncertain_run;
  return !restarted;
}

void order_system::OnHostList(boost::span<const host_entry> hosts, time_point now) {
  std::set<peer_id> listed;
  for (const host_entry& host : hosts) {
    const bool here = host.kind == host_kind::kDaemon && host.data_centre == data_centre_;
    if (here) listed.insert(PeerIdOf(host.address));
  }
  // A list without this daemon is too old to rely on.
  if (listed.count(peers_.self()) == 0) return;
  if (!has_host_list_) first_list_read_ = now;
  has_host_list_ = true;
  host_list_read_ = now;
  for (const peer_id peer : listed) last_listed_[peer] = now;
  listed_ = std::move(listed);
}

bool order_system::IsOffHostList(peer_id peer, time_point now) const {
  if (!has_host_list_ || listed_.count(peer) != 0) return false;
  if (now - host_list_read_ >= limits_.gone) return false;
  const auto last = last_listed_.find(peer);
  const time_point since = last == last_listed_.end() ? first_list_read_ : last->second;
  return now - since >= limits_.gone;
}

}  // namespace hawthorndrum
