/// CBOR encoding of the messages about planned changes and earlier holders' authority.
#include "systems/order_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "systems/json_fields.h"
#include "systems/lease_record.h"

namespace hawthorndrum {
namespace {

peer_message Pack(peer_topic topic, const nlohmann::json& object) {
  return {topic, nlohmann::json::to_cbor(object)};
}

nlohmann::json Unpack(const peer_message& message) {
  return nlohmann::json::from_cbor(message.body, true, false);
}

tl::unexpected<error> DecodeError(const char* what) {
  return tl::unexpected(error{error_code::kInvalid, what});
}

}  // namespace

peer_message Encode(const planned_changes& message) {
  nlohmann::json changes = nlohmann::json::array();
  for (const planned_change& change : message.changes) {
    changes.push_back({{"engine", change.engine.value()},
                       {"order", change.order.value()},
                       {"firm", change.firm}});
  }
  return Pack(peer_topic::kPlannedChanges, {{"data_centre", message.data_centre},
                                            {"term", message.term.value()},
                                            {"number", message.number},
                                            {"changes", changes}});
}

expected<planned_changes> DecodePlannedChanges(const peer_message& message) {
  const nlohmann::json object = Unpack(message);
  json_fields fields(object);
  planned_changes decoded;
  decoded.data_centre = fields.Text("data_centre");
  decoded.term = lease_term(fields.Unsigned("term", kLargestTerm));
  decoded.number = fields.Unsigned("number");
  for (const nlohmann::json& element : fields.Array("changes")) {
    json_fields change(element);
    const planned_change read = {upstream_id(change.Unsigned("engine")),
                                 order_id(change.Unsigned("order")), change.Flag("firm")};
    if (!change.ok()) return DecodeError("malformed planned change");
    decoded.changes.push_back(read);
  }
  if (!fields.ok()) return DecodeError("malformed planned changes");
  return decoded;
}

peer_message Encode(const planned_changes_seen& message) {
  nlohmann::json engines = nlohmann::json::array();
  for (const engine_in_flight& engine : message.engines) {
    engines.push_back({{"engine", engine.engine.value()}, {"in_flight", engine.in_flight}});
  }
  return Pack(peer_topic::kPlannedChangesSeen,
              {{"term", message.term.value()}, {"number", message.number}, {"engines", engines}});
}

expected<planned_changes_seen> DecodePlannedChangesSeen(const peer_message& message) {
  const nlohmann::json object = Unpack(message);
  json_fields fields(object);
  planned_changes_seen decoded;
  decoded.term = lease_term(fields.Unsigned("term", kLargestTerm));
  decoded.number = fields.Unsigned("number");
  for (const nlohmann::json& element : fields.Array("engines")) {
    json_fields engine(element);
    const engine_in_flight read = {
        upstream_id(engine.Unsigned("engine")),
        static_cast<std::uint32_t>(engine.Unsigned("in_flight", UINT32_MAX))};
    if (!engine.ok()) return DecodeError("malformed count of an engine's requests");
    decoded.engines.push_back(read);
  }
  if (!fields.ok()) return DecodeError("malformed acknowledgement of planned changes");
  return decoded;
}

peer_message Encode(const authority_query& message) {
  return Pack(peer_topic::kAuthorityQuery, {{"nonce", message.nonce},
                                            {"engine", message.engine.value()},
                                            {"term", message.term.value()}});
}

expected<authority_query> DecodeAuthorityQuery(const peer_message& message) {
  const nlohmann::json object = Unpack(message);
  json_fields fields(object);
  authority_query decoded;
  decoded.nonce = fields.Unsigned("nonce");
  decoded.engine = upstream_id(fields.Unsigned("engine"));
  decoded.term = lease_term(fields.Unsigned("term", kLargestTerm));
  if (!fields.ok()) return DecodeError("malformed authority query");
  return decoded;
}

peer_message Encode(const authority_reply& message) {
  return Pack(peer_topic::kAuthorityLost, {{"nonce", message.nonce},
                                           {"engine", message.engine.value()},
                                           {"incarnation", message.incarnation.value()},
                                           {"settled", message.settled},
                                           {"uncertain", message.uncertain}});
}

expected<authority_reply> DecodeAuthorityReply(const peer_message& message) {
  const nlohmann::json object = Unpack(message);
  json_fields fields(object);
  authority_reply decoded;
  decoded.nonce = fields.Unsigned("nonce");
  decoded.engine = upstream_id(fields.Unsigned("engine"));
  decoded.incarnation = incarnation_id(fields.Unsigned("incarnation"));
  decoded.settled = fields.Flag("settled");
  decoded.uncertain = fields.Flag("uncertain");
  if (!fields.ok()) return DecodeError("malformed authority reply");
  return decoded;
}

}  // namespace hawthorndrum
