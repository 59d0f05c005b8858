/// Writes answers to callers, and counts and traces how requests end.
#include "systems/answer_writer.h"

#include <utility>

#include "base/metrics_registry.h"
#include "ports/caller_port.h"
#include "ports/clock.h"
#include "ports/trace_sink.h"
#include "systems/decision_log.h"
#include "systems/resume_token.h"
#include "systems/upstream_request.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kMaxLabelledServices = 200;

std::string AddressOf(const upstream_table& upstreams, upstream_id id) {
  const upstream* row = upstreams.Find(id);
  return row ? row->address : "gone";
}

/** Returns what the refusal may say of earlier requests with the key. */
earlier_requests EarlierOf(const request_row& request, const refusal& why) {
  // The caller must not use a key that belongs to another request, so nothing is said of it.
  const bool says = why.what == outcome::kNotRun && why.status != 422;
  if (!says || request.idempotency_key.empty()) return earlier_requests::kOmitted;
  if (request.claim_held) return earlier_requests::kNone;
  return why.earlier == earlier_requests::kNone ? why.earlier : earlier_requests::kUnknown;
}

}  // namespace

answer_writer::answer_writer(const request_ports& ports, decision_log& decisions)
    : ports_(ports), decisions_(decisions) {}

void answer_writer::RefuseUnread(request_id request, const refusal& why) {
  ports_.metrics->Counter("hawthorndrum_requests_rejected_total", MetricLabel("code", why.code))
      .Add();
  ports_.callers->Answer(request, ProblemAnswer(why, request));
}

void answer_writer::Fail(const request_row& request, refusal why) {
  why.earlier = EarlierOf(request, why);
  decisions_.Refused(request.id, ports_.time->Now(), why);
  RecordEnd(request, why.what, why.code);
  if (!request.answer_begun) {
    ports_.callers->Answer(request.id, ProblemAnswer(why, request.id));
    return;
  }
  if (request.stream) {
    sse_event event;
    event.type = "error";
    event.data = ProblemText(why, request.id);
    ports_.callers->Write(request.id, ToWire(event));
  }
  ports_.callers->Abort(request.id);
}

void answer_writer::WriteAnswer(const request_row& request, http_answer answer) {
  RecordEnd(request, outcome::kAnswered, "answered");
  answer.headers = EndToEndHeaders(answer.headers);
  SetHeader(answer.headers, "X-Request-Id", ToHex(request.id.value()));
  ports_.callers->Answer(request.id, std::move(answer));
}

void answer_writer::BeginStream(request_row& request) {
  if (request.answer_begun) return;
  request.answer_begun = true;
  ports_.callers->Begin(request.id, 200,
                        {{"Content-Type", "text/event-stream"},
                         {"Cache-Control", "no-cache"},
                         {"X-Request-Id", ToHex(request.id.value())}});
}

void answer_writer::WriteToken(const request_row& request, upstream_id upstream, sse_event event) {
  if (!event.id.empty()) {
    event.id = ToText(resume_token{request.offset, request.fingerprint, upstream});
  }
  ports_.callers->Write(request.id, ToWire(event));
}

void answer_writer::EndStream(const request_row& request) {
  RecordEnd(request, outcome::kAnswered, "answered");
  ports_.callers->Write(request.id, "data: [DONE]\n\n");
  ports_.callers->End(request.id);
}

void answer_writer::BeginBody(request_row& request, const http_answer& head) {
  request.answer_begun = true;
  std::vector<http_header> headers = EndToEndHeaders(head.headers);
  SetHeader(headers, "X-Request-Id", ToHex(request.id.value()));
  ports_.callers->Begin(request.id, head.status, std::move(headers));
  ports_.callers->Write(request.id, head.body);
}

void answer_writer::WriteBody(const request_row& request, std::string_view bytes) {
  ports_.callers->Write(request.id, bytes);
}

void answer_writer::EndBody(const request_row& request) {
  RecordEnd(request, outcome::kAnswered, "answered");
  ports_.callers->End(request.id);
}

void answer_writer::RecordFirstToken(const request_row& request, time_point now) {
  ports_.metrics->Histogram("hawthorndrum_first_token_seconds", LabelOf(*request.service))
      .Record(now - request.arrived);
}

void answer_writer::RecordAttempt(const request_row& request, const attempt_row& attempt,
                                  std::string result) {
  trace_span span;
  span.trace_high = request.trace.trace_high;
  span.trace_low = request.trace.trace_low;
  span.span = attempt.span;
  span.parent = request.trace.span;
  span.name = "attempt";
  span.start = attempt.sent;
  span.end = ports_.time->Now();
  span.attributes = {{"upstream", AddressOf(*ports_.upstreams, attempt.upstream)},
                     {"attempt", ToHex(attempt.id.value())},
                     {"result", std::move(result)}};
  ports_.traces->Record(std::move(span));
}

void answer_writer::RecordEnd(const request_row& request, outcome what, std::string code) {
  const time_point now = ports_.time->Now();
  const std::string label = LabelOf(*request.service) + "," + MetricLabel("outcome", ToText(what));
  ports_.metrics->Counter("hawthorndrum_requests_total", label).Add();
  ports_.metrics->Histogram("hawthorndrum_request_seconds", label).Record(now - request.arrived);
  if (what == outcome::kAnswered && now <= request.useful_by) {
    ports_.metrics->Counter("hawthorndrum_goodput_total", LabelOf(*request.service)).Add();
  }
  if (what != outcome::kAnswered) {
    ports_.metrics->Counter("hawthorndrum_requests_failed_total", MetricLabel("code", code)).Add();
  }
  trace_span span;
  span.trace_high = request.trace.trace_high;
  span.trace_low = request.trace.trace_low;
  span.span = request.trace.span;
  span.parent = request.trace.parent;
  span.name = "request";
  span.start = request.arrived;
  span.end = now;
  span.attributes = {{"service", request.service->name},
                     {"request", ToHex(request.id.value())},
                     {"outcome", std::string(ToText(what))},
                     {"code", std::move(code)},
                     {"attempts", std::to_string(request.attempts)}};
  ports_.traces->Record(std::move(span));
}

std::string answer_writer::LabelOf(const service_config& service) {
  if (labelled_services_.count(service.name) == 0 &&
      labelled_services_.size() < kMaxLabelledServices) {
    labelled_services_.insert(service.name);
  }
  const bool own = labelled_services_.count(service.name) != 0;
  return MetricLabel("service", own ? service.name : "other");
}

}  // namespace hawthorndrum
