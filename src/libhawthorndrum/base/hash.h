/// Hashes that are the same on every daemon: xxh3 with 64 bits.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/ids.h"

namespace hawthorndrum {

/** The xxh3 hash of the bytes under the seed. */
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/** The score of a candidate for a key; the candidate with the highest score owns the key. */
std::uint64_t RendezvousScore(std::uint64_t key, std::uint64_t candidate);

/** The id of the upstream at that address (`ip:port`). */
upstream_id UpstreamIdOf(std::string_view address);

/** The id of the daemon whose peers' port is at that address (`ip:port`). */
peer_id PeerIdOf(std::string_view address);

}  // namespace hawthorndrum
