/// Computes hashes with libxxhash.
#include "base/hash.h"

#include <xxhash.h>

namespace hawthorndrum {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t RendezvousScore(std::uint64_t key, std::uint64_t candidate) {
  return XXH3_64bits_withSeed(&candidate, sizeof(candidate), key);
}

upstream_id UpstreamIdOf(std::string_view address) { return upstream_id(Hash64(address, 1) | 1); }

peer_id PeerIdOf(std::string_view address) { return peer_id(Hash64(address, 2) | 1); }

}  // namespace hawthorndrum
