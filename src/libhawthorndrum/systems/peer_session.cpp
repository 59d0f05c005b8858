/// Challenge, key proof and framing of a peer link.
#include "systems/peer_session.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "ports/peer_transport.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxMessagesPerFrame = 1024;
constexpr std::array<std::uint8_t, 2> kMagic = {'H', 'D'};
constexpr std::size_t kChallengeBytes = kMagic.size() + 1 + std::tuple_size_v<peer_session::nonce>;
constexpr std::string_view kLinkKeyPurpose = "hawthorndrum peer link";

boost::span<const std::uint8_t> AsBytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

void Append(std::vector<std::uint8_t>& to, boost::span<const std::uint8_t> bytes) {
  to.insert(to.end(), bytes.begin(), bytes.end());
}

void AppendNumber(std::vector<std::uint8_t>& to, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    to.push_back(static_cast<std::uint8_t>(number >> shift));
  }
}

peer_session::nonce DrawNonce(random_source& random) {
  peer_session::nonce value{};
  for (std::size_t i = 0; i < value.size(); i += 8) {
    const std::uint64_t drawn = random.Draw();
    for (std::size_t k = 0; k < 8; ++k) value[i + k] = static_cast<std::uint8_t>(drawn >> (8 * k));
  }
  return value;
}

}  // namespace

peer_session::peer_session(std::string_view key, bool dialled, random_source& random)
    : key_(key), dialled_(dialled), own_nonce_(DrawNonce(random)) {}

std::vector<std::uint8_t> peer_session::Challenge() const {
  std::vector<std::uint8_t> frame(kMagic.begin(), kMagic.end());
  frame.push_back(kPeerProtocolVersion);
  Append(frame, own_nonce_);
  return frame;
}

bool peer_session::Fail(session_fault fault) {
  state_ = session_state::kBroken;
  fault_ = fault;
  return false;
}

bool peer_session::AcceptChallenge(boost::span<const std::uint8_t> frame) {
  if (frame.size() != kChallengeBytes) return Fail(session_fault::kMalformed);
  if (!std::equal(kMagic.begin(), kMagic.end(), frame.begin())) {
    return Fail(session_fault::kMalformed);
  }
  if (frame[kMagic.size()] != kPeerProtocolVersion) return Fail(session_fault::kVersion);
  const auto other_nonce = frame.subspan(kMagic.size() + 1);
  // Receiving our own nonce means that our frames are being reflected.
  if (ConstantTimeEquals(other_nonce, own_nonce_)) return Fail(session_fault::kProof);
  std::vector<std::uint8_t> seed(kLinkKeyPurpose.begin(), kLinkKeyPurpose.end());
  if (dialled_) {
    Append(seed, own_nonce_);
    Append(seed, other_nonce);
  } else {
    Append(seed, other_nonce);
    Append(seed, own_nonce_);
  }
  link_key_ = HmacSha256(AsBytes(key_), seed);
  state_ = session_state::kProof;
  return true;
}

mac_value peer_session::ComputeMac(bool from_dialler, std::uint64_t number,
                                   boost::span<const std::uint8_t> body) const {
  std::vector<std::uint8_t> input;
  input.reserve(1 + 8 + body.size());
  input.push_back(from_dialler ? 1 : 0);
  AppendNumber(input, number);
  Append(input, body);
  return HmacSha256(link_key_, input);
}

bool peer_session::Verify(boost::span<const std::uint8_t> frame) {
  if (frame.size() < kMacBytes) return false;
  const mac_value expected_mac = ComputeMac(!dialled_, next_in_, frame.subspan(kMacBytes));
  return ConstantTimeEquals(frame.first(kMacBytes),
                            boost::span<const std::uint8_t>(expected_mac).first(kMacBytes));
}

bool peer_session::Unpack(boost::span<const std::uint8_t> body,
                          std::vector<peer_message>& messages) {
  if (body.empty()) return true;
  expected<nlohmann::json> decoded = DecodeCbor(body);
  if (!decoded || !decoded->is_array() || decoded->size() % 2 != 0) return false;
  if (decoded->size() / 2 > kMaxMessagesPerFrame) return false;
  for (std::size_t i = 0; i < decoded->size(); i += 2) {
    const nlohmann::json& topic = (*decoded)[i];
    nlohmann::json& content = (*decoded)[i + 1];
    if (!topic.is_number_unsigned() || topic.get<std::uint64_t>() > 0xffff) return false;
    if (!content.is_binary()) return false;
    peer_message message;
    message.topic = static_cast<peer_topic>(topic.get<std::uint16_t>());
    message.body = std::move(static_cast<std::vector<std::uint8_t>&>(content.get_binary()));
    messages.push_back(std::move(message));
  }
  return true;
}

bool peer_session::Accept(boost::span<const std::uint8_t> frame,
                          std::vector<peer_message>& messages) {
  if (state_ == session_state::kBroken) return false;
  if (frame.size() > kMaxFrameBytes) return Fail(session_fault::kTooLarge);
  if (state_ == session_state::kChallenge) return AcceptChallenge(frame);
  if (!Verify(frame)) return Fail(session_fault::kProof);
  ++next_in_;
  state_ = session_state::kOpen;
  if (!Unpack(frame.subspan(kMacBytes), messages)) return Fail(session_fault::kMalformed);
  return true;
}

std::vector<std::uint8_t> peer_session::Seal(const std::vector<peer_message>& messages) {
  std::vector<std::uint8_t> body;
  if (!messages.empty()) {
    nlohmann::json items = nlohmann::json::array();
    for (const peer_message& message : messages) {
      items.push_back(static_cast<std::uint16_t>(message.topic));
      items.push_back(nlohmann::json::binary(message.body));
    }
    body = EncodeCbor(items);
  }
  const mac_value mac = ComputeMac(dialled_, next_out_++, body);
  std::vector<std::uint8_t> frame(mac.begin(), mac.begin() + kMacBytes);
  Append(frame, body);
  return frame;
}

}  // namespace hawthorndrum
