/// Estimates which shared prompt parts an engine holds in its KV cache.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/units.h"
#include "gateway/prompt.h"

namespace hawthorndrum {

/**
 * Records the prompts that were sent to the engine. Engines evict the least recently used parts
 * first, so a part that was not used for kAssumedRetention is assumed to be evicted.
 *
 * Invariant: holds at most kMaxParts parts.
 */
class prompt_cache {
 public:
  /** Longer than the period in which a repeated prefill of a shared part is penalised. */
  static constexpr duration kAssumedRetention = seconds(60);
  /** Bounds memory; an engine holds fewer shared parts of usual size. */
  static constexpr std::size_t kMaxParts = 1024;

  /** Records all parts as held except the last, which no other prompt shares. */
  void RecordPrompt(const prompt& read, time_point now);

  /** Returns the number of tokens at the prompt's start that need no prefill. */
  std::uint64_t HeldTokens(const prompt& asked, time_point now) const;

  void Clear() { used_.clear(); }
  std::size_t size() const { return used_.size(); }

 private:
  void DropOldest();

  std::unordered_map<std::uint64_t, time_point> used_;
};

}  // namespace hawthorndrum
