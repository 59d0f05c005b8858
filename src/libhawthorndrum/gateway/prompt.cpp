/// Parses a prompt's parts and sizes.
#include "gateway/prompt.h"

#include <charconv>
#include <string>

#include "base/hash.h"

namespace hawthorndrum {

namespace {

/** More parts than any caller needs. */
constexpr std::size_t kMaxParts = 64;
/** More tokens than any engine holds; sums of so many and their times do not overflow. */
constexpr std::uint64_t kMaxTokens = 1'000'000'000;

tl::unexpected<error> Bad(std::string_view what) {
  return tl::make_unexpected(error{error_code::kInvalid, "unreadable " + std::string(what)});
}

bool ReadNumber(std::string_view text, int base, std::uint64_t& value) {
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return read.ec == std::errc() && read.ptr == text.data() + text.size();
}

bool ReadTokens(std::string_view text, std::uint64_t& tokens) {
  return ReadNumber(text, 10, tokens) && tokens <= kMaxTokens;
}

/** Parses ids of up to 16 digits as numbers and hashes longer ones. */
bool ReadPartId(std::string_view text, std::uint64_t& id) {
  if (text.empty()) return false;
  if (text.size() > 16) {
    id = Hash64(text);
    return true;
  }
  return ReadNumber(text, 16, id);
}

}  // namespace

std::uint64_t prompt::tokens() const {
  std::uint64_t sum = 0;
  for (const prompt_part& part : parts) sum += part.tokens;
  return sum;
}

std::uint64_t prompt::shared_key() const {
  std::uint64_t key = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) key = RendezvousScore(key, parts[i].id);
  return key;
}

expected<prompt> ReadPrompt(std::string_view parts, std::string_view token_counts) {
  prompt read;
  const std::size_t comma = token_counts.find(',');
  std::uint64_t counted = 0;
  if (comma == std::string_view::npos || !ReadTokens(token_counts.substr(0, comma), counted) ||
      !ReadTokens(token_counts.substr(comma + 1), read.output_tokens)) {
    return Bad("token counts");
  }
  while (!parts.empty()) {
    const std::size_t end = parts.find(',');
    const std::string_view item = parts.substr(0, end);
    const std::size_t colon = item.find(':');
    prompt_part part;
    if (colon == std::string_view::npos || read.parts.size() >= kMaxParts ||
        !ReadPartId(item.substr(0, colon), part.id) ||
        !ReadTokens(item.substr(colon + 1), part.tokens)) {
      return Bad("prompt parts");
    }
    read.parts.push_back(part);
    parts = end == std::string_view::npos ? std::string_view() : parts.substr(end + 1);
  }
  if (read.parts.empty()) read.parts.push_back({0, counted});
  return read;
}

}  // namespace hawthorndrum
