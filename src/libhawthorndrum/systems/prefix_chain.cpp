/// The chained hashes of a prompt's pieces.
#include "systems/prefix_chain.h"

#include "base/hash.h"

namespace hawthorndrum {

std::vector<std::uint64_t> PrefixChain(std::string_view text) {
  std::uint64_t previous = 0;
  std::vector<std::uint64_t> chain;
  chain.reserve(text.size() / kPieceBytes);
  for (; text.size() >= kPieceBytes; text.remove_prefix(kPieceBytes)) {
    previous = Hash64(text.substr(0, kPieceBytes), previous);
    chain.push_back(previous);
  }
  return chain;
}

}  // namespace hawthorndrum
