/// The first message on a proven link: who the sender is.
#pragma once

#include <optional>

#include "ports/peer_message.h"
#include "tables/daemon_identity.h"

namespace hawthorndrum {

peer_message EncodeHello(const daemon_identity& self);

/** Returns nothing for a malformed message. */
std::optional<daemon_identity> DecodeHello(const peer_message& message);

}  // namespace hawthorndrum
