/// Hello message: the first on an authenticated link; it identifies the sender.
#pragma once

#include <optional>

#include "ports/peer_message.h"
#include "tables/daemon_identity.h"

namespace hawthorndrum {

peer_message EncodeHello(const daemon_identity& self);

/** Returns `std::nullopt` for a malformed message. */
std::optional<daemon_identity> DecodeHello(const peer_message& message);

}  // namespace hawthorndrum
