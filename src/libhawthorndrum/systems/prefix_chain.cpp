/// The chained hashes of a prompt's pieces.
#include "systems/prefix_chain.h"

#include "base/hash.h"

namespace hawthorndrum {

std::vector<std::uint64_t> PrefixChain(const model_use& model, std::string_view text) {
  std::uint64_t previous = Hash64(model.name + "/" + model.version + "/" + model.adapter);
  std::vector<std::uint64_t> chain;
  chain.reserve(text.size() / kPieceBytes);
  for (; text.size() >= kPieceBytes; text.remove_prefix(kPieceBytes)) {
    previous = Hash64(text.substr(0, kPieceBytes), previous);
    chain.push_back(previous);
  }
  return chain;
}

}  // namespace hawthorndrum
