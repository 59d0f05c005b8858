/// Which shared parts of prompts an engine is believed to hold in its KV cache.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/units.h"
#include "gateway/prompt.h"

namespace hawthorndrum {

/**
 * Learns from the prompts that were sent to the engine. An engine drops the least recently used
 * parts first, so a part that was not used for kBelieved is no longer counted on.
 *
 * Invariant: holds at most kMostParts parts.
 */
class prompt_cache {
 public:
  /** Longer than the span in which reading a shared part again is counted against us. */
  static constexpr duration kBelieved = seconds(60);
  /** Bounds the memory; an engine holds fewer shared parts of usual size. */
  static constexpr std::size_t kMostParts = 1024;

  /** All parts but the last, which no other prompt shares, are held from now on. */
  void NotePrompt(const prompt& read, time_point now);

  /** Tokens at the prompt's start that need not be read again. */
  std::uint64_t HeldTokens(const prompt& asked, time_point now) const;

  void Clear() { used_.clear(); }
  std::size_t size() const { return used_.size(); }

 private:
  void DropOldest();

  std::unordered_map<std::uint64_t, time_point> used_;
};

}  // namespace hawthorndrum
