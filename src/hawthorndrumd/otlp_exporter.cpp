/// Exports spans to a collector with OTLP over HTTP, encoded as JSON.
#include "otlp_exporter.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/metrics_registry.h"
#include "buffered_calls.h"
#include "ports/clock.h"

namespace hawthorndrum {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxBufferedSpans = 4096;
constexpr duration kInterval = seconds(1);
constexpr duration kTimeout = seconds(5);
constexpr std::size_t kLongestAnswer = 64 * 1024;
constexpr int kSpanKindServer = 2;

std::string Hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
  return text;
}

json Attributes(const std::vector<span_attribute>& attributes) {
  json list = json::array();
  for (const span_attribute& attribute : attributes) {
    list.push_back({{"key", attribute.key}, {"value", {{"stringValue", attribute.value}}}});
  }
  return list;
}

}  // namespace

otlp_exporter::otlp_exporter(boost::asio::io_context& io, buffered_calls& calls, const clock& time,
                             metrics_registry& metrics, std::string address, std::string instance,
                             double sampling_ratio)
    : timer_(io),
      calls_(calls),
      clock_(time),
      dropped_(metrics.Counter("trace_spans_dropped_total")),
      sent_(metrics.Counter("trace_spans_sent_total")),
      address_(std::move(address)),
      instance_(std::move(instance)),
      sampling_ratio_(sampling_ratio) {}

void otlp_exporter::Start() {
  if (!address_.empty()) ScheduleFlush();
}

void otlp_exporter::Record(trace_span span) {
  if (address_.empty() || !IsSampled(span)) return;
  if (spans_.size() >= kMaxBufferedSpans) return dropped_.Add();
  spans_.push_back(std::move(span));
}

bool otlp_exporter::IsSampled(const trace_span& span) const {
  return static_cast<double>(span.trace_low) * 0x1.0p-64 < sampling_ratio_;
}

void otlp_exporter::ScheduleFlush() {
  timer_.expires_after(kInterval);
  timer_.async_wait([this](boost::system::error_code failed) {
    if (failed) return;
    Flush();
    ScheduleFlush();
  });
}

void otlp_exporter::Flush() {
  if (spans_.empty() || sending_ || address_.empty()) return;
  http_call call;
  call.address = address_;
  call.request.method = "POST";
  call.request.target = "/v1/traces";
  call.request.headers.push_back({"Content-Type", "application/json"});
  call.request.body = Body();
  call.total_timeout = kTimeout;
  const std::size_t count = spans_.size();
  spans_.clear();
  sending_ = true;
  calls_.Start(std::move(call), kLongestAnswer, [this, count](buffered_answer ended) {
    sending_ = false;
    const bool accepted = ended.received && ended.answer.status / 100 == 2;
    (accepted ? sent_ : dropped_).Add(count);
  });
}

std::string otlp_exporter::Body() const {
  json spans = json::array();
  for (const trace_span& span : spans_) {
    json item = {{"traceId", Hex(span.trace_high) + Hex(span.trace_low)},
                 {"spanId", Hex(span.span)},
                 {"name", span.name},
                 {"kind", kSpanKindServer},
                 {"startTimeUnixNano", std::to_string(UnixNanoseconds(span.start))},
                 {"endTimeUnixNano", std::to_string(UnixNanoseconds(span.end))},
                 {"attributes", Attributes(span.attributes)}};
    if (span.parent != 0) item["parentSpanId"] = Hex(span.parent);
    spans.push_back(std::move(item));
  }
  const std::vector<span_attribute> resource = {{"service.name", "hawthorndrumd"},
                                                {"service.instance.id", instance_}};
  const json scope = {{"scope", {{"name", "hawthorndrum"}}}, {"spans", std::move(spans)}};
  const json resource_spans = {{"resource", {{"attributes", Attributes(resource)}}},
                               {"scopeSpans", json::array({scope})}};
  return json{{"resourceSpans", json::array({resource_spans})}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

std::uint64_t otlp_exporter::UnixNanoseconds(time_point time) const {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto then = wall - (clock_.Now() - time);
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(then).count());
}

}  // namespace hawthorndrum
