/// What a request says of its prompt.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace hawthorndrum {

/** A part of a prompt; requests whose prompts begin with the same parts share their KV cache. */
struct prompt_part {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

/**
 * The last part belongs to the request itself; the parts before it are shared with others.
 */
struct prompt {
  std::vector<prompt_part> parts;
  /** The most tokens that may be generated. */
  std::uint64_t output_tokens = 0;

  std::uint64_t tokens() const;
  /** The same for all requests that share every part but the last; 0 without shared parts. */
  std::uint64_t shared_key() const;
};

/**
 * Reads `ID:TOKENS,ID:TOKENS,...` (ids in hexadecimal) and `PROMPT,OUTPUT` token counts. Without
 * parts, the counted prompt is one part of its own.
 */
expected<prompt> ReadPrompt(std::string_view parts, std::string_view token_counts);

}  // namespace hawthorndrum
