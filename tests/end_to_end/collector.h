/// Collects trace spans inside a test process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_handler.h"
#include "http_server.h"

namespace hawthorndrum {

/** One received span. */
struct collected_span {
  std::string trace;
  std::string span;
  std::string parent;
  std::string name;
};

/**
 * Receives OTLP/HTTP JSON at `/v1/traces` and stores the spans.
 */
class collector : public http_handler {
 public:
  explicit collector(boost::asio::io_context& io)
      : server_(io, *this, random_, metrics_, "collector", http_limits()) {
    address_ = "127.0.0.1:" + std::to_string(*server_.Listen("127.0.0.1:0"));
  }

  const std::string& address() const { return address_; }
  const std::vector<collected_span>& spans() const { return spans_; }

  void OnRequest(request_id request, http_request message) override {
    const auto text = nlohmann::json::parse(message.body);
    for (const auto& resource : text["resourceSpans"]) {
      for (const auto& scope : resource["scopeSpans"]) {
        for (const auto& span : scope["spans"]) Keep(span);
      }
    }
    server_.Answer(request, {200, {}, "{}"});
  }
  void OnCallerGone(request_id) override {}

 private:
  void Keep(const nlohmann::json& span) {
    spans_.push_back({span["traceId"].get<std::string>(), span["spanId"].get<std::string>(),
                      span.value("parentSpanId", ""), span["name"].get<std::string>()});
  }

  fake_random_source random_;
  metrics_registry metrics_;
  http_server server_;
  std::string address_;
  std::vector<collected_span> spans_;
};

}  // namespace hawthorndrum
