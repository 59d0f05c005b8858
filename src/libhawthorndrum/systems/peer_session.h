/// Session of one peer link: mutual proof of the shared key, then authenticated frames.
///
/// Both sides send a challenge (protocol version and nonce). The dialling side then proves that it
/// has the key by an empty authenticated frame. The accepting side identifies itself only after
/// that, and the dialling side only after the accepting side's first authenticated frame. An
/// unauthenticated client learns nothing but the protocol version.
#pragma once

#include <array>
#include <boost/core/span.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/mac.h"
#include "base/units.h"
#include "ports/peer_message.h"
#include "ports/random_source.h"

namespace hawthorndrum {

/** Version of the peer protocol; links between different versions are closed. */
constexpr std::uint8_t kPeerProtocolVersion = 1;

enum class session_state { kChallenge, kProof, kOpen, kBroken };

enum class session_fault { kNone, kMalformed, kVersion, kProof, kTooLarge };

/**
 * State of one link. Every frame after the challenge carries a MAC over its direction, sequence
 * number and contents under a key derived for this link, so that frames cannot be forged, replayed,
 * reordered or moved to another link.
 *
 * Invariant: next_out_ and next_in_ count the authenticated frames of each direction.
 */
class peer_session {
 public:
  using nonce = std::array<std::uint8_t, 16>;

  peer_session(std::string_view key, bool dialled, random_source& random);

  /** Returns the first frame to send. */
  std::vector<std::uint8_t> Challenge() const;

  /**
   * Verifies a received frame and appends its messages to `messages`. Returns false if the link
   * must be closed; fault() then holds the reason.
   */
  bool Accept(boost::span<const std::uint8_t> frame, std::vector<peer_message>& messages);

  /** Returns an authenticated frame with the messages. Requires MaySend() or MustSendProof(). */
  std::vector<std::uint8_t> Seal(const std::vector<peer_message>& messages);

  /** Returns whether the dialling side must now send the empty frame that proves the key. */
  bool MustSendProof() const {
    return dialled_ && state_ == session_state::kProof && next_out_ == 0;
  }
  /** Returns whether the other side is authenticated, so that messages may be sent. */
  bool MaySend() const { return state_ == session_state::kOpen; }
  session_state state() const { return state_; }
  session_fault fault() const { return fault_; }
  bool dialled() const { return dialled_; }

 private:
  bool Fail(session_fault fault);
  bool AcceptChallenge(boost::span<const std::uint8_t> frame);
  bool Verify(boost::span<const std::uint8_t> frame);
  bool Unpack(boost::span<const std::uint8_t> body, std::vector<peer_message>& messages);
  mac_value ComputeMac(bool from_dialler, std::uint64_t number,
                       boost::span<const std::uint8_t> body) const;

  std::string key_;
  bool dialled_;
  nonce own_nonce_{};
  mac_value link_key_{};
  std::uint64_t next_out_ = 0;
  std::uint64_t next_in_ = 0;
  session_state state_ = session_state::kChallenge;
  session_fault fault_ = session_fault::kNone;
};

}  // namespace hawthorndrum
