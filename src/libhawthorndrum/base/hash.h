/// 64-bit XXH3 hashes, identical on every daemon.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/ids.h"

namespace hawthorndrum {

/** Returns the seeded XXH3 hash of the bytes. */
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/** Returns the rendezvous hashing score; the candidate with the highest score owns the key. */
std::uint64_t RendezvousScore(std::uint64_t key, std::uint64_t candidate);

/** Returns the id of the upstream at the address (`ip:port`). */
upstream_id UpstreamIdOf(std::string_view address);

/** Returns the id of the daemon whose peers' port is at the address (`ip:port`). */
peer_id PeerIdOf(std::string_view address);

}  // namespace hawthorndrum
