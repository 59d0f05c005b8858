/// The parts and sizes of a request's prompt.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace hawthorndrum {

/** A part of a prompt; requests whose prompts begin with the same parts share KV cache. */
struct prompt_part {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

/**
 * The last part is the request's own; the parts before it are shared with other requests.
 */
struct prompt {
  std::vector<prompt_part> parts;
  /** Maximum number of tokens to generate. */
  std::uint64_t output_tokens = 0;

  std::uint64_t tokens() const;
  /** Returns a key of all parts but the last; 0 without shared parts. */
  std::uint64_t shared_key() const;
};

/**
 * Parses `ID:TOKENS,ID:TOKENS,...` (ids in hexadecimal) and `PROMPT,OUTPUT` token counts. Without
 * parts, the whole prompt is one unshared part of the counted size. A count that no engine could
 * hold is an error.
 */
expected<prompt> ReadPrompt(std::string_view parts, std::string_view token_counts);

}  // namespace hawthorndrum
