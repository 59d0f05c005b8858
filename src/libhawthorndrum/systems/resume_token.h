/// The SSE event id from which any daemon can resume a stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "base/error.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * Identifies the engine that holds the stream, the request that it belongs to, and how many tokens
 * the caller has. The text is `<offset>.<fingerprint>.<engine>`, the latter two in hexadecimal.
 */
struct resume_token {
  std::uint64_t offset = 0;
  std::uint64_t fingerprint = 0;
  upstream_id engine;
};

std::string ToText(const resume_token& token);

expected<resume_token> ParseResumeToken(std::string_view text);

}  // namespace hawthorndrum
