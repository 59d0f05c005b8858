/// Messages between daemons: planned changes, and whether an earlier lease holder may still act.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/**
 * An engine that is to receive an order which takes it out of service. `firm` means that the order
 * may be sent at any moment, so that the mark must not expire by itself.
 */
struct planned_change {
  upstream_id engine;
  order_id order;
  bool firm = false;
};

/**
 * All planned changes of a data centre; an engine that is not listed has none. `number` increases
 * within a term; superseded announcements are dropped.
 */
struct planned_changes {
  std::string data_centre;
  lease_term term;
  std::uint64_t number = 0;
  std::vector<planned_change> changes;
};

/** How many of a daemon's requests run at an engine that has a planned change. */
struct engine_in_flight {
  upstream_id engine;
  std::uint32_t in_flight = 0;
};

/** Acknowledges that a daemon has marked the changes of announcement `number`. */
struct planned_changes_seen {
  lease_term term;
  std::uint64_t number = 0;
  std::vector<engine_in_flight> engines;
};

/** Asks whether the process at this address can still affect an engine under a term below `term`.
 */
struct authority_query {
  std::uint64_t nonce = 0;
  upstream_id engine;
  lease_term term;
};

/**
 * The answer to an authority_query. `settled`: this process has no open call with an order to the
 * engine, and sends no more under a lower term. `uncertain`: a copy that got no answer may still
 * arrive there.
 */
struct authority_reply {
  std::uint64_t nonce = 0;
  upstream_id engine;
  incarnation_id incarnation;
  bool settled = false;
  bool uncertain = false;
};

peer_message Encode(const planned_changes& message);
peer_message Encode(const planned_changes_seen& message);
peer_message Encode(const authority_query& message);
peer_message Encode(const authority_reply& message);

expected<planned_changes> DecodePlannedChanges(const peer_message& message);
expected<planned_changes_seen> DecodePlannedChangesSeen(const peer_message& message);
expected<authority_query> DecodeAuthorityQuery(const peer_message& message);
expected<authority_reply> DecodeAuthorityReply(const peer_message& message);

}  // namespace hawthorndrum
