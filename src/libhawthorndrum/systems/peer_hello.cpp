/// CBOR encoding of the hello message: [address, incarnation, data centre, region].
#include "systems/peer_hello.h"

#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "base/hash.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kMaxNameBytes = 256;

bool IsName(const nlohmann::json& value) {
  return value.is_string() && value.get_ref<const std::string&>().size() <= kMaxNameBytes;
}

}  // namespace

peer_message EncodeHello(const daemon_identity& self) {
  const nlohmann::json body = {self.address, self.incarnation.value(), self.data_centre,
                               self.region};
  return {peer_topic::kHello, EncodeCbor(body)};
}

std::optional<daemon_identity> DecodeHello(const peer_message& message) {
  const expected<nlohmann::json> body = DecodeCbor(message.body);
  if (!body || !body->is_array() || body->size() != 4) return std::nullopt;
  const nlohmann::json& fields = *body;
  if (!IsName(fields[0]) || !fields[1].is_number_unsigned()) return std::nullopt;
  if (!IsName(fields[2]) || !IsName(fields[3])) return std::nullopt;
  daemon_identity peer;
  peer.address = fields[0].get<std::string>();
  peer.incarnation = incarnation_id(fields[1].get<std::uint64_t>());
  peer.data_centre = fields[2].get<std::string>();
  peer.region = fields[3].get<std::string>();
  peer.id = PeerIdOf(peer.address);
  if (peer.address.empty() || !peer.incarnation) return std::nullopt;
  return peer;
}

}  // namespace hawthorndrum
