/// HTTP endpoint of the admin port.
#include "admin_endpoint.h"

#include <openssl/crypto.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "base/counter.h"
#include "base/hash.h"
#include "base/metrics_registry.h"
#include "base/url.h"
#include "ports/admin_section.h"
#include "ports/caller_port.h"

namespace hawthorndrum {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/admin/";
constexpr std::string_view kBearer = "Bearer ";

int StatusOf(error_code code) {
  switch (code) {
    case error_code::kInvalid:
      return 400;
    case error_code::kNotFound:
      return 404;
    case error_code::kConflict:
      return 409;
    case error_code::kTooLarge:
      return 413;
    case error_code::kUnauthorised:
      return 401;
    case error_code::kUnavailable:
    case error_code::kAddressInUse:
    case error_code::kUnknownOutcome:
    case error_code::kTimeout:
      return 503;
  }
  return 500;
}

http_answer JsonAnswer(int status, const json& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

http_answer ProblemAnswer(int status, std::string_view title) {
  http_answer answer =
      JsonAnswer(status, {{"type", "about:blank"}, {"title", title}, {"status", status}});
  answer.headers = {{"Content-Type", "application/problem+json"}};
  return answer;
}

/** Compares two secrets in a time that does not depend on the content of either. */
bool IsSameSecret(std::string_view given, std::string_view wanted) {
  const std::size_t size = wanted.size();
  std::string padded(given.substr(0, size));
  padded.resize(size, '\0');
  const bool same_bytes = CRYPTO_memcmp(padded.data(), wanted.data(), size) == 0;
  return same_bytes && given.size() == size;
}

}  // namespace

admin_endpoint::admin_endpoint(std::string token, metrics_registry& metrics)
    : token_(std::move(token)),
      metrics_(metrics),
      refused_(metrics.Counter("admin_unauthorised_total")) {}

void admin_endpoint::Add(admin_section& section) {
  sections_[std::string(section.name())] = &section;
}

void admin_endpoint::OnRequest(request_id request, http_request message) {
  answers_->Answer(request, Serve(message));
}

http_answer admin_endpoint::Serve(const http_request& message) const {
  if (message.target == "/metrics") {
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.ToText()};
  }
  if (!IsAuthorised(message)) {
    refused_.Add();
    return ProblemAnswer(401, "the operators' token is missing or wrong");
  }
  const std::string_view target = message.target;
  if (target.substr(0, kPrefix.size()) != kPrefix) return ProblemAnswer(404, "no such page");
  return ServeSection(message, target.substr(kPrefix.size()));
}

bool admin_endpoint::IsAuthorised(const http_request& message) const {
  const std::string_view given = FindHeader(message.headers, "Authorization");
  if (token_.empty() || given.substr(0, kBearer.size()) != kBearer) return false;
  return IsSameSecret(given.substr(kBearer.size()), token_);
}

http_answer admin_endpoint::ServeSection(const http_request& message, std::string_view path) const {
  const std::size_t slash = path.find('/');
  const std::string_view name = path.substr(0, slash);
  const std::string item =
      slash == std::string_view::npos ? std::string() : DecodeUrl(path.substr(slash + 1));
  const auto found = sections_.find(name);
  if (found == sections_.end()) return ProblemAnswer(404, "no such section");
  expected<json> result;
  if (message.method == "GET") {
    result = found->second->Report(item);
  } else if (message.method == "POST") {
    const json arguments =
        message.body.empty() ? json::object() : json::parse(message.body, nullptr, false);
    if (!arguments.is_object()) return ProblemAnswer(400, "the body is not a JSON object");
    result = found->second->Act(item, arguments);
  } else {
    return ProblemAnswer(405, "only GET and POST are served");
  }
  if (!result) return ProblemAnswer(StatusOf(result.error().code), result.error().message);
  return JsonAnswer(200, *result);
}

}  // namespace hawthorndrum
