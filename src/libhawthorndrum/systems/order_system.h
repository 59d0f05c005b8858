/// Sends orders to the engines of a data centre while this daemon holds the lease.
#pragma once

#include <boost/core/span.hpp>
#include <map>
#include <set>
#include <string>

#include "base/counter.h"
#include "ports/admin_section.h"
#include "ports/engine_port.h"
#include "ports/host_entry.h"
#include "ports/peer_port.h"
#include "systems/engine_change.h"
#include "systems/lease_system.h"
#include "systems/order_journal.h"
#include "systems/order_limits.h"
#include "systems/order_request.h"
#include "systems/planned_change_system.h"
#include "systems/stored_record.h"
#include "systems/system.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

/**
 * Journals orders in the object `journals/<data centre>`, drains their engines, sends the orders
 * and tracks them until they end. Every daemon has one; only the lease's holder sends orders.
 *
 * Invariants: an order is sent only while the lease is held, after the journal was sealed with the
 * lease's term and holds the order as open, and, if it needs a drain, after every daemon has
 * acknowledged that it sends the engine nothing. An engine has at most one open order. An engine
 * that does not check fencing numbers gets no other order while a process of an older term could
 * still send it one, or a copy may be in flight to it.
 */
class order_system : public system,
                     public peer_listener,
                     public admin_section,
                     lease_listener,
                     change_seen_listener,
                     order_listener,
                     record_listener {
 public:
  order_system(lease_system& lease, planned_change_system& marks, object_store& store,
               engine_port& engines, peer_port& peers, upstream_table& upstreams,
               const clock& clock, random_source& random, metrics_registry& metrics,
               std::string data_centre, incarnation_id self, order_limits limits);

  void Run(time_point now) override;
  void OnPeerMessage(peer_id from, const peer_message& message) override;
  /** Called with the platform's host list each time it has been read. */
  void OnHostList(boost::span<const host_entry> hosts, time_point now);

  /** Begins a change; the order is sent once the engine is drained, if it needs that. */
  expected<order_id> Propose(const order_request& request);
  /** Whether an order to that engine could begin now. */
  expected<void> MayOrder(upstream_id engine) const;
  bool ready() const { return sealed_ && lease_.Holds(); }
  std::size_t open_changes() const { return changes_.size(); }
  bool IsChanging(upstream_id engine) const { return changes_.count(engine) != 0; }
  const order_limits& limits() const { return limits_; }

  std::string_view name() const override { return "orders"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  /** The copies of an order that this process sent to one engine; kept when the lease is lost. */
  struct sent_copies {
    order_id order;
    std::uint32_t outstanding = 0;
    /** Whether a copy ended without an answer; it may arrive later. */
    bool unanswered = false;
  };

  /** An open authority_query to the process at an issuer's address. */
  struct open_query {
    std::uint64_t nonce = 0;
    peer_id peer;
  };

  void OnLeaseGained(lease_term term) override;
  void OnLeaseLost(lease_term term) override;
  void OnChangesSeen(peer_id from, const planned_changes_seen& seen) override;
  void OnOrderAnswer(const order_answer& answer) override;
  void OnRecordRead(const record_state& state) override;
  void OnRecordWritten(const record_state& state, time_point sent) override;

  // Stages of a change (order_system.cpp).
  void RunChange(engine_change& change, time_point now);
  void RunDraining(engine_change& change, time_point now);
  void RunReady(engine_change& change, time_point now);
  void RunSent(engine_change& change, time_point now);
  void SendCopy(engine_change& change, const upstream& row, time_point now);
  /** Moves towards a commit with a new fencing number; drains first if the order needs it. */
  void Prepare(engine_change& change);
  void EnterStage(engine_change& change, change_stage stage);
  bool IsDrained(const engine_change& change, const upstream& row) const;
  bool HasEnded(const engine_change& change, const upstream& row) const;
  bool AllDaemonsAcknowledged(const engine_change& change) const;
  void AbandonMissing(engine_change& change, time_point now);
  void AnnounceChanges(time_point now, bool at_once);

  // The journal (order_system_journal.cpp).
  void Seal(const record_state& state);
  void SubmitJournal();
  void AdoptOpenOrders();
  void WriteJournal();
  void Commit(engine_change& change);
  void End(const engine_change& change);
  void AfterWrite();

  // Issuers of older terms (order_system_issuers.cpp).
  void RunIssuers(time_point now);
  void NoteConsumedCopies();
  void AskIssuer(const journal_row& row, const order_issuer& issuer);
  void OnQuery(peer_id from, const authority_query& query);
  void OnReply(peer_id from, const authority_reply& reply);
  void DropIssuer(journal_row& row, std::size_t index, bool copy_may_arrive);
  void MarkUncertain(journal_row& row);
  void NoteRunOfUncertain(journal_row& row, const upstream& engine);
  bool IsOffHostList(peer_id peer, time_point now) const;
  bool IsHeldBack(const journal_row& row, const upstream& engine) const;

  // Operators (order_system_admin.cpp).
  nlohmann::json RowReport(const journal_row& row) const;
  expected<nlohmann::json> Release(const nlohmann::json& arguments);
  expected<nlohmann::json> SetRole(const nlohmann::json& arguments);
  expected<upstream_id> EngineOf(const nlohmann::json& arguments) const;

  lease_system& lease_;
  planned_change_system& marks_;
  engine_port& engines_;
  peer_port& peers_;
  upstream_table& upstreams_;
  const clock& clock_;
  random_source& random_;
  std::string data_centre_;
  incarnation_id self_;
  order_limits limits_;
  stored_record record_;

  /** The journal, including edits that are not written yet; valid while sealed_. */
  order_journal journal_;
  /** The term that the last submitted journal carried. */
  lease_term written_term_;
  bool sealing_ = false;
  bool sealed_ = false;
  bool unreadable_ = false;
  /** Set when journal_ differs from what was submitted last. */
  bool dirty_ = false;

  std::map<upstream_id, engine_change> changes_;
  std::uint64_t announcement_ = 0;
  time_point next_announcement_;
  time_point next_poll_;
  time_point next_query_;
  std::map<upstream_id, sent_copies> copies_;
  std::map<upstream_id, open_query> queries_;
  /** Since when a row is uncertain; without an entry, since the journal was sealed. */
  std::map<upstream_id, time_point> uncertain_since_;
  time_point sealed_at_;

  /** Daemons of this data centre on the last host list, and when each was last on it. */
  std::set<peer_id> listed_;
  std::map<peer_id, time_point> last_listed_;
  time_point host_list_read_;
  time_point first_list_read_;
  bool has_host_list_ = false;

  counter& sent_;
  counter& ended_;
  counter& failed_;
  counter& given_up_;
  counter& refused_stale_;
  counter& held_back_;
  counter& bad_messages_;
};

}  // namespace hawthorndrum
