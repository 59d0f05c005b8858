/// The chained hashes of a prompt's pieces, by which engines and daemons name cached prefixes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hawthorndrum {

/** Engines hold their cache in pieces of so many tokens. */
constexpr std::uint64_t kPieceTokens = 2000;
/** The daemon has no tokenizer: it counts tokens by bytes of prompt text. */
constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::size_t kPieceBytes = kPieceTokens * kBytesPerToken;

/**
 * One hash for each whole piece of the text: xxh3 of the piece, seeded with the hash of the piece
 * before it; the first is seeded with 0. Engines name pieces in their cache events the same way.
 */
std::vector<std::uint64_t> PrefixChain(std::string_view text);

}  // namespace hawthorndrum
