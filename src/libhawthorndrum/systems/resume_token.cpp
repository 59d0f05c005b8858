/// The SSE event id from which any daemon can resume a stream.
#include "systems/resume_token.h"

#include <charconv>

#include "systems/problem_answer.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kHexLength = 16;

}  // namespace

std::string ToText(const resume_token& token) {
  return std::to_string(token.offset) + "." + ToHex(token.fingerprint) + "." +
         ToHex(token.engine.value());
}

expected<resume_token> ParseResumeToken(std::string_view text) {
  const auto bad = tl::make_unexpected(error{error_code::kInvalid, "not an id of this service"});
  resume_token token;
  const char* end = text.data() + text.size();
  const auto number = std::from_chars(text.data(), end, token.offset);
  if (number.ec != std::errc()) return bad;
  text.remove_prefix(static_cast<std::size_t>(number.ptr - text.data()));
  if (text.size() != 2 + 2 * kHexLength || text[0] != '.' || text[1 + kHexLength] != '.')
    return bad;
  token.fingerprint = FromHex(text.substr(1, kHexLength));
  token.engine = upstream_id(FromHex(text.substr(2 + kHexLength)));
  if (token.fingerprint == 0) return bad;
  return token;
}

}  // namespace hawthorndrum
