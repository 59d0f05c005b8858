/// One link between two daemons: mutual proof of the shared key, then authenticated frames.
///
/// Both sides send a challenge (protocol version and nonce). The dialling side then proves the key
/// by an empty authenticated frame; only after that the accepting side says anything about itself,
/// and the dialling side only after the accepting side's first authenticated frame. A stranger
/// learns the protocol's version and nothing else.
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

/** The version of the protocol between daemons; links between different versions are closed. */
constexpr std::uint8_t kPeerProtocolVersion = 1;

enum class session_state { kChallenge, kProof, kOpen, kBroken };

enum class session_fault { kNone, kRubbish, kVersion, kProof, kTooLarge };

/**
 * The state of one link. Every frame after the challenge carries a MAC over its direction, its
 * sequence number and its contents under a key that belongs to this link alone, so that no frame
 * can be forged, replayed, reordered or moved to another link.
 *
 * Invariant: next_out_ and next_in_ count the authenticated frames of each direction.
 */
class peer_session {
 public:
  using nonce = std::array<std::uint8_t, 16>;

  peer_session(std::string_view key, bool dialled, random_source& random);

  /** The frame to send first. */
  std::vector<std::uint8_t> Challenge() const;

  /**
   * Takes a frame of the other side; messages that it carried are added to `messages`. Returns
   * false when the link must be closed, with the reason in fault().
   */
  bool Accept(boost::span<const std::uint8_t> frame, std::vector<peer_message>& messages);

  /** The frame that carries the messages. Requires MaySend() or OwesProof(). */
  std::vector<std::uint8_t> Seal(const std::vector<peer_message>& messages);

  /** Whether the dialling side has to prove itself by an empty frame now. */
  bool OwesProof() const { return dialled_ && state_ == session_state::kProof && next_out_ == 0; }
  /** Whether the other side has proven itself, so that messages may be sent. */
  bool MaySend() const { return state_ == session_state::kOpen; }
  session_state state() const { return state_; }
  session_fault fault() const { return fault_; }
  bool dialled() const { return dialled_; }

 private:
  bool Fail(session_fault fault);
  bool AcceptChallenge(boost::span<const std::uint8_t> frame);
  bool Verify(boost::span<const std::uint8_t> frame);
  bool Unpack(boost::span<const std::uint8_t> body, std::vector<peer_message>& messages);
  mac_value MacOf(bool from_dialler, std::uint64_t number,
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
