/// Builds the HTTP request that is sent to an upstream for an attempt.
#include "systems/upstream_request.h"

#include <array>
#include <cctype>
#include <string>
#include <string_view>

#include "systems/problem_answer.h"
#include "systems/trace_ids.h"

namespace hawthorndrum {

namespace {

constexpr std::array<std::string_view, 12> kHopByHopHeaders = {"connection",
                                                               "keep-alive",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade",
                                                               "proxy-connection",
                                                               "expect",
                                                               "host",
                                                               "content-length"};

bool SameName(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(a[i])) != b[i]) return false;
  }
  return true;
}

bool IsHopByHopHeader(std::string_view name) {
  for (const std::string_view one : kHopByHopHeaders) {
    if (SameName(name, one)) return true;
  }
  return false;
}

}  // namespace

std::vector<http_header> EndToEndHeaders(const std::vector<http_header>& headers) {
  std::vector<http_header> kept;
  kept.reserve(headers.size());
  for (const http_header& header : headers) {
    if (!IsHopByHopHeader(header.name)) kept.push_back(header);
  }
  return kept;
}

http_request UpstreamRequest(const request_row& request, const attempt_row& attempt) {
  http_request out;
  out.method = request.method;
  out.target = request.path;
  out.body = request.body;
  out.repeatable = request.service->repeatable && request.idempotency_key.empty();
  if (request.service->kind == service_kind::kPlain) {
    out.headers = EndToEndHeaders(request.headers);
  } else {
    out.headers.push_back({"Content-Type", "application/json"});
  }
  SetHeader(out.headers, "X-Request-Id", ToHex(attempt.id.value()));
  SetHeader(out.headers, "X-Priority", std::to_string(request.priority));
  SetHeader(out.headers, "traceparent", WriteTraceparent(request.trace, attempt.span));
  if (request.offset > 0) {
    SetHeader(out.headers, "X-Resume-Offset", std::to_string(request.offset));
  }
  if (!request.idempotency_key.empty()) {
    SetHeader(out.headers, "Idempotency-Key", request.idempotency_key);
  }
  return out;
}

}  // namespace hawthorndrum
