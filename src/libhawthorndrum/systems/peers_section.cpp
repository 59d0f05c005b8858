/// JSON rendering of the peer table.
#include "systems/peers_section.h"

#include <nlohmann/json.hpp>

namespace hawthorndrum {

namespace {

std::string_view ToText(peer_state state) {
  switch (state) {
    case peer_state::kCandidate:
      return "candidate";
    case peer_state::kAlive:
      return "alive";
    case peer_state::kSuspect:
      return "suspect";
    case peer_state::kDead:
      return "dead";
  }
  return "candidate";
}

nlohmann::json Describe(const daemon_identity& identity) {
  return {{"address", identity.address},
          {"incarnation", identity.incarnation.value()},
          {"data_centre", identity.data_centre},
          {"region", identity.region}};
}

}  // namespace

nlohmann::json peers_section::Describe(const peer& row) const {
  nlohmann::json described = hawthorndrum::Describe(row.identity);
  const time_point now = clock_.Now();
  described["state"] = ToText(row.state);
  described["linked"] = router_.IsLinked(row.id);
  described["listed"] = row.listed;
  described["seed"] = row.seed;
  described["state_for_ms"] = ToMilliseconds(now - row.state_since);
  if (row.last_received != time_point())
    described["heard_ms_ago"] = ToMilliseconds(now - row.last_received);
  if (row.last_confirmed > row.last_received) {
    described["others_heard_ms_ago"] = ToMilliseconds(now - row.last_confirmed);
  }
  return described;
}

expected<nlohmann::json> peers_section::Report(std::string_view item) const {
  nlohmann::json peers = nlohmann::json::array();
  for (const peer& row : membership_.peers()) {
    if (!item.empty() && row.identity.address != item) continue;
    if (!item.empty()) return Describe(row);
    peers.push_back(Describe(row));
  }
  if (!item.empty()) {
    return tl::make_unexpected(error{error_code::kNotFound, "no such peer: " + std::string(item)});
  }
  return nlohmann::json{{"self", hawthorndrum::Describe(router_.identity())}, {"peers", peers}};
}

expected<nlohmann::json> peers_section::Act(std::string_view verb, const nlohmann::json&) {
  return tl::make_unexpected(error{error_code::kInvalid, "peers has no verb " + std::string(verb)});
}

}  // namespace hawthorndrum
