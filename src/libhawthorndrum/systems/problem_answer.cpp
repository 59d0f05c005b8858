/// Error answers: application/problem+json with the outcome.
#include "systems/problem_answer.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace hawthorndrum {

namespace {

constexpr const char* kNoEarlierRan =
    "; this request was not run, and no earlier one with this key has run: send it again with the "
    "same key, not with another one";
constexpr const char* kEarlierMayHaveRun =
    "; this request was not run, but an earlier one with this key may have run: to learn it, send "
    "the request again with the same key, never with another one";

}  // namespace

std::string ToHex(std::uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = 16; i-- > 0; value >>= 4) text[i] = kDigits[value & 15];
  return text;
}

std::uint64_t FromHex(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, 16);
  return parsed.ec == std::errc() && parsed.ptr == end ? value : 0;
}

std::string ProblemText(const refusal& why, request_id request) {
  nlohmann::json problem = {{"type", "about:blank"},       {"title", why.code},
                            {"status", why.status},        {"detail", why.detail},
                            {"outcome", ToText(why.what)}, {"request_id", ToHex(request.value())}};
  if (why.retry_after > duration::zero()) {
    problem["retry_after_ms"] = ToMilliseconds(why.retry_after);
  }
  if (why.earlier != earlier_requests::kOmitted) {
    const bool none = why.earlier == earlier_requests::kNone;
    problem["earlier_requests_with_this_key"] = none ? "none" : "unknown";
    problem["detail"] = why.detail + (none ? kNoEarlierRan : kEarlierMayHaveRun);
  }
  return problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http_answer ProblemAnswer(const refusal& why, request_id request) {
  http_answer answer;
  answer.status = why.status;
  answer.headers = {{"Content-Type", "application/problem+json"},
                    {"X-Request-Id", ToHex(request.value())}};
  if (why.what == outcome::kNotRun) answer.headers.push_back({"X-Not-Started", "1"});
  if (why.retry_after > duration::zero()) {
    const auto whole = std::chrono::ceil<seconds>(why.retry_after).count();
    answer.headers.push_back({"Retry-After", std::to_string(whole)});
  }
  answer.body = ProblemText(why, request);
  return answer;
}

}  // namespace hawthorndrum
