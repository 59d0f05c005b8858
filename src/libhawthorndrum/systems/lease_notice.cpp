/// CBOR encoding of lease notices.
#include "systems/lease_notice.h"

#include <nlohmann/json.hpp>

#include "systems/json_fields.h"
#include "systems/lease_record.h"

namespace hawthorndrum {

peer_message EncodeLeaseNotice(const lease_notice& notice) {
  const nlohmann::json object = {{"data_centre", notice.data_centre},
                                 {"term", notice.term.value()},
                                 {"incarnation", notice.incarnation.value()}};
  return {peer_topic::kLeaseHolder, nlohmann::json::to_cbor(object)};
}

expected<lease_notice> DecodeLeaseNotice(const peer_message& message) {
  const nlohmann::json object = nlohmann::json::from_cbor(message.body, true, false);
  json_fields fields(object);
  lease_notice notice;
  notice.data_centre = fields.Text("data_centre");
  notice.term = lease_term(fields.Unsigned("term", kLargestTerm));
  notice.incarnation = incarnation_id(fields.Unsigned("incarnation"));
  if (!fields.ok()) return tl::unexpected(error{error_code::kInvalid, "malformed lease notice"});
  return notice;
}

}  // namespace hawthorndrum
