/// The lease of this daemon's data centre: who may give orders to its engines.
#pragma once

#include <string>
#include <vector>

#include "base/counter.h"
#include "ports/admin_section.h"
#include "ports/peer_port.h"
#include "systems/lease_record.h"
#include "systems/lease_timing.h"
#include "systems/stored_record.h"
#include "systems/system.h"

namespace hawthorndrum {

class clock;
class metrics_registry;
class object_store;
class random_source;

/**
 * Is told when this daemon gains or loses the lease.
 */
class lease_listener {
 public:
  virtual ~lease_listener() = default;
  virtual void OnLeaseGained(lease_term term) = 0;
  virtual void OnLeaseLost(lease_term term) = 0;
};

/**
 * Takes, renews and gives up the lease object `leases/<data centre>`.
 *
 * Only the first daemons by rendezvous rank ask the store; a daemon of a later rank asks after a
 * silence that grows with its rank. The others hear of the holder from the holder.
 *
 * Invariants: Holds() is true only before trust_until_, which is the send time of a confirmed
 * write plus the lease's length minus the margin, on this daemon's clock. A lease of another
 * incarnation is taken only after its version stood unchanged for its whole length.
 */
class lease_system : public system, public peer_listener, public admin_section, record_listener {
 public:
  lease_system(object_store& store, peer_port& peers, const clock& clock, random_source& random,
               metrics_registry& metrics, std::string data_centre, incarnation_id self,
               lease_timing timing);

  void Run(time_point now) override;
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  void AddListener(lease_listener& listener) { listeners_.push_back(&listener); }

  /** Whether orders may go out at this very moment; reads the clock. */
  bool Holds() const;
  /** Until when orders may go out; meaningful while Holds(). */
  time_point trust_until() const { return trust_until_; }
  /** The term held, or last held. */
  lease_term term() const { return term_; }
  /** The highest term known of, whoever holds it. */
  lease_term highest_term() const { return highest_; }
  peer_id known_holder() const { return known_holder_; }

  /** A term was met outside the lease object (journal, engine, peer). */
  void NoteTerm(lease_term seen);
  /** Gives the lease back, and takes none again. */
  void Stop();

  std::string_view name() const override { return "leases"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  enum class writing { kNothing, kTake, kRenew, kGiveBack };

  void OnRecordRead(const record_state& state) override;
  void OnRecordWritten(const record_state& state, time_point sent) override;

  void ConsiderTaking(time_point now);
  void Take();
  void Renew();
  void GiveBack();
  void WriteRecord(lease_term term, peer_id holder, writing what);
  void Lose();
  void Announce(time_point now);
  void KeepAsking(time_point now);
  /** This daemon's place among those of its data centre; 0 is the first. */
  std::size_t Rank() const;
  /** The group of that place: the first few daemons are group 0. */
  duration::rep RankGroup() const;
  /** How long the holder must be silent before this daemon asks the store. */
  duration Patience() const;
  void SetSeen(const record_state& state, time_point now);

  peer_port& peers_;
  const clock& clock_;
  random_source& random_;
  std::string data_centre_;
  incarnation_id self_;
  lease_timing timing_;
  stored_record record_;
  std::vector<lease_listener*> listeners_;

  bool held_ = false;
  bool stopped_ = false;
  bool give_back_asked_ = false;
  lease_term term_;
  lease_term highest_;
  time_point trust_until_;
  time_point renew_at_;
  writing writing_ = writing::kNothing;
  lease_term writing_term_;

  /** What the store showed last, and since when on this clock. */
  bool has_seen_ = false;
  object_version seen_version_;
  lease_record seen_;
  time_point seen_since_;
  time_point next_ask_;

  peer_id known_holder_;
  bool has_heard_ = false;
  time_point heard_at_;
  time_point next_announcement_;

  counter& gained_;
  counter& lost_;
  counter& held_gauge_;
  counter& bad_messages_;
};

}  // namespace hawthorndrum
