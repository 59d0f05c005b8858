/// The lease of this daemon's data centre; only its holder may send orders to the engines.
#pragma once

#include <optional>
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
 * Is notified when this daemon gains or loses the lease.
 */
class lease_listener {
 public:
  virtual ~lease_listener() = default;
  virtual void OnLeaseGained(lease_term term) = 0;
  virtual void OnLeaseLost(lease_term term) = 0;
};

/**
 * Takes, renews and releases the lease object `leases/<data centre>`.
 *
 * A daemon polls the store only while no holder announces itself: the first daemons by rendezvous
 * rank soon, a daemon of a later rank after a silence that grows with its rank. Until then it
 * learns of the holder from the holder's notices.
 *
 * Invariants: Holds() is true only before valid_until_, which is the send time of a confirmed
 * write plus the lease's length minus the margin, on this daemon's clock. A lease that another
 * incarnation holds is taken only after its version has been unchanged for its whole length. In an
 * era of the store, a lease is taken only a whole length after the era was first seen here: writes
 * of the former era were sent before that, so their holders no longer trust them.
 */
class lease_system : public system, public peer_listener, public admin_section, record_listener {
 public:
  lease_system(object_store& store, peer_port& peers, const clock& clock, random_source& random,
               metrics_registry& metrics, std::string data_centre, incarnation_id self,
               lease_timing timing);

  void Run(time_point now) override;
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  void AddListener(lease_listener& listener) { listeners_.push_back(&listener); }

  /** Whether orders may be sent now; reads the clock. */
  bool Holds() const;
  /** Until when orders may be sent; meaningful while Holds(). */
  time_point valid_until() const { return valid_until_; }
  /** The term held, or last held. */
  lease_term term() const { return term_; }
  /** The highest term known, whoever holds it. */
  lease_term highest_term() const { return highest_; }
  /** This daemon's rendezvous rank in its data centre; 0 is the first. */
  std::size_t Rank() const;
  peer_id known_holder() const { return known_holder_; }

  /**
   * Notes the store's era, which any call to the store may show. A later one means that the store
   * came back from an older copy, which may lack the lease of a daemon that still trusts it: a
   * lease held here is lost, and none is taken before such a daemon has ceased to trust its own.
   */
  void NoteStoreEra(std::uint64_t era);
  /** Whether the lease was taken where no record was, in the only era that this daemon has seen. */
  bool took_missing() const { return took_missing_; }

  /** Notes a term seen outside the lease object (journal, engine, peer). */
  void NoteTerm(lease_term seen);
  /**
   * Sets whether this daemon may hold the lease. One that may not releases it and takes none; it
   * may take it again later like any other daemon.
   */
  void SetEligible(bool eligible) { eligible_ = eligible; }
  /** Makes Run() release the lease once no store call is open, and takes none afterwards. */
  void Stop();

  std::string_view name() const override { return "leases"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  enum class write_purpose { kNothing, kTake, kRenew, kRelease };

  void OnRecordRead(const record_state& state) override;
  void OnRecordWritten(const record_state& state, time_point sent) override;
  void OnStoreEra(std::uint64_t era) override { NoteStoreEra(era); }

  void TakeIfAvailable(time_point now);
  /** Returns a term above all that were given out; nothing if none is known to be. */
  std::optional<lease_term> UnusedTerm() const;
  void Take();
  void Renew();
  void Release();
  void WriteRecord(lease_term term, peer_id holder, write_purpose purpose);
  void Lose();
  void Announce(time_point now);
  void PollStore(time_point now);
  /** The group of that rank: the first few daemons are group 0. */
  duration::rep RankGroup() const;
  /** How long the holder must be silent before this daemon polls the store. */
  duration SilenceTimeout() const;
  void NoteStored(const record_state& state, time_point now);

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
  bool release_requested_ = false;
  bool eligible_ = true;
  lease_term term_;
  lease_term highest_;
  /** The latest era of the store, and when this daemon first saw it. */
  std::optional<std::uint64_t> era_;
  time_point era_since_;
  bool saw_former_era_ = false;
  bool took_missing_ = false;
  time_point valid_until_;
  time_point renew_at_;
  write_purpose write_purpose_ = write_purpose::kNothing;
  lease_term write_term_;

  /** The lease as last seen in the store, and since when on this clock. */
  bool has_seen_ = false;
  object_version seen_version_;
  lease_record seen_;
  /** Whether there is a record that can't be read: which terms were given out is not known. */
  bool is_unreadable_ = false;
  time_point seen_since_;
  time_point next_poll_;

  peer_id known_holder_;
  bool has_holder_activity_ = false;
  time_point holder_active_at_;
  time_point next_announcement_;

  counter& gained_;
  counter& lost_;
  counter& held_gauge_;
  counter& bad_messages_;
};

}  // namespace hawthorndrum
