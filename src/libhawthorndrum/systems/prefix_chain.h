/// The chained hashes of a prompt's pieces, which identify cached prefixes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hawthorndrum {

/** The number of tokens in a piece, the unit of the engines' caches. */
constexpr std::uint64_t kPieceTokens = 2000;
/** The daemon has no tokenizer: it estimates tokens from the bytes of prompt text. */
constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::size_t kPieceBytes = kPieceTokens * kBytesPerToken;

/**
 * Returns one hash for each complete piece of the text: xxh3 of the piece, seeded with the hash of
 * the piece before it; the first is seeded with 0. Engines identify pieces in their cache events
 * the same way.
 */
std::vector<std::uint64_t> PrefixChain(std::string_view text);

}  // namespace hawthorndrum
