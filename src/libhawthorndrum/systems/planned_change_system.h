/// Marks the engines that are about to be changed, in every daemon of a data centre.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/counter.h"
#include "ports/peer_port.h"
#include "systems/order_messages.h"
#include "systems/system.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

class clock;
class metrics_registry;

/**
 * Receives each daemon's acknowledgement of an announcement.
 */
class change_seen_listener {
 public:
  virtual ~change_seen_listener() = default;
  virtual void OnChangesSeen(peer_id from, const planned_changes_seen& seen) = 0;
};

/**
 * Sets `planned_change` of the upstream rows as the lease's holder announces it, and reports to the
 * holder how many of this daemon's requests still run there.
 *
 * Invariants: announcements take effect in the order of (term, number). A mark that is not firm
 * expires when the holder stops announcing. A firm mark stays until a later announcement omits it
 * or the engine reports that the order ended; it is forwarded to daemons that start meanwhile.
 */
class planned_change_system : public system, public peer_listener {
 public:
  planned_change_system(peer_port& peers, upstream_table& upstreams, const clock& clock,
                        metrics_registry& metrics, std::string data_centre);

  void Run(time_point now) override;
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  void SetListener(change_seen_listener& listener) { listener_ = &listener; }
  /** For the holder: marks the changes here and sends them to the data centre's daemons. */
  void Announce(planned_changes changes);

  bool IsMarked(upstream_id engine) const { return marks_.count(engine) != 0; }

 private:
  struct mark {
    order_id order;
    bool firm = false;
    time_point expires_at;
  };

  /** Returns false when a newer announcement is known. */
  bool Apply(const planned_changes& changes);
  void UnmarkAll();
  void Answer(peer_id to, const planned_changes& changes);
  void DropEndedMarks(time_point now);
  void SendFirmMarksToNewPeers();

  peer_port& peers_;
  upstream_table& upstreams_;
  const clock& clock_;
  std::string data_centre_;
  change_seen_listener* listener_ = nullptr;

  /** The newest announcement. */
  planned_changes newest_;
  std::map<upstream_id, mark> marks_;
  std::set<incarnation_id> informed_;
  counter& stale_;
  counter& bad_messages_;
  counter& marked_;
};

}  // namespace hawthorndrum
