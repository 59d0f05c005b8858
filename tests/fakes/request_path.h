/// A request path on fake ports, with upstreams and services for tests.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/hash.h"
#include "base/metrics_registry.h"
#include "fake_caller_port.h"
#include "fake_claim_gate.h"
#include "fake_clock.h"
#include "fake_config_view.h"
#include "fake_random_source.h"
#include "fake_trace_sink.h"
#include "fake_upstream_port.h"
#include "systems/request_system_builder.h"

namespace hawthorndrum {

/**
 * Has a model service `chat`, a plain service `stock`, and a plain service `pay` whose requests may
 * not be repeated.
 */
class request_path {
 public:
  static constexpr const char* kPeerKey = "a key of the tests";

  explicit request_path(std::uint64_t seed = 1, peer_port* peers = nullptr,
                        std::string own_data_centre = "here")
      : data_centre(std::move(own_data_centre)), random(seed), last_request(seed << 32) {
    service_config chat;
    chat.name = "chat";
    chat.model = {"m", "1", ""};
    config.Put(chat);
    service_config stock;
    stock.name = "stock";
    stock.kind = service_kind::kPlain;
    stock.pool = "stock";
    config.Put(stock);
    service_config pay = stock;
    pay.name = "pay";
    pay.pool = "pay";
    pay.repeatable = false;
    config.Put(pay);
    request_system_builder builder;
    builder.Upstreams(upstreams).Config(config).Claims(claims).Upstream(port).Callers(callers);
    builder.Clock(time).Random(random).Traces(traces).Metrics(metrics).DataCentre(data_centre);
    builder.Spill({kPeerKey, "8001"});
    if (peers) builder.Peers(*peers);
    system = builder.Build();
  }

  upstream& AddEngine(const std::string& address) {
    upstream row;
    row.id = UpstreamIdOf(address);
    row.address = address;
    row.data_centre = data_centre;
    row.report.upstream = row.id;
    row.report.models = {{"m", "1", {}}};
    row.report.prefill_tokens_per_second = 10000;
    row.report.decode_tokens_per_second = 1000;
    row.report.engine_incarnation = 1;
    row.has_report = true;
    row.report_time = time.Now();
    return upstreams.Insert(row);
  }

  upstream& AddWorker(const std::string& address, const std::string& pool) {
    upstream row;
    row.id = UpstreamIdOf(address);
    row.address = address;
    row.kind = host_kind::kService;
    row.pool = pool;
    row.data_centre = data_centre;
    return upstreams.Insert(row);
  }

  /** Sends a completion and runs a tick. */
  request_id Chat(const std::string& prompt, bool stream = true,
                  std::vector<http_header> headers = {}) {
    const nlohmann::json body = {{"model", "m"},
                                 {"stream", stream},
                                 {"max_tokens", 16},
                                 {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return Post("/services/chat/v1/chat/completions", body.dump(), std::move(headers));
  }

  request_id Post(const std::string& target, const std::string& body,
                  std::vector<http_header> headers = {}) {
    const request_id id(++last_request);
    system->OnRequest(id, {"POST", target, std::move(headers), body});
    Tick();
    return id;
  }

  void Tick(duration passed = duration::zero()) {
    time.Advance(passed);
    system->Run(time.Now());
  }

  /** Returns the newest attempt. */
  sent_attempt& Last() { return port.sent.back(); }
  upstream& At(const std::string& address) { return *upstreams.Find(UpstreamIdOf(address)); }
  caller_record& Caller(request_id id) { return callers.records[id]; }

  void Head(attempt_id attempt, int status = 200, std::vector<http_header> headers = {}) {
    system->OnAttemptHead({attempt, status, std::move(headers)});
  }
  void Bytes(attempt_id attempt, const std::string& bytes) {
    system->OnAttemptBytes({attempt, bytes});
  }
  void Finish(attempt_id attempt) {
    system->OnAttemptFinished({attempt});
    Tick();
  }
  void Lose(attempt_id attempt, bool bytes_sent = true,
            attempt_failure failure = attempt_failure::kConnectionLost) {
    system->OnAttemptLost({attempt, failure, bytes_sent});
    Tick();
  }
  /** Returns the engine's tokens from `from` up to but excluding `to`, in wire format. */
  static std::string Tokens(std::uint64_t from, std::uint64_t to) {
    std::string wire;
    for (std::uint64_t i = from; i < to; ++i) {
      wire += "id: " + std::to_string(i + 1) + "\ndata: {\"t\":" + std::to_string(i) + "}\n\n";
    }
    return wire;
  }
  static std::string Done() { return "data: [DONE]\n\n"; }

  /** Returns the data lines of a stream, without its ids. */
  static std::string DataOf(const std::string& body) {
    std::string data;
    std::size_t at = 0;
    while (at < body.size()) {
      const std::size_t end = body.find('\n', at);
      const std::string line = body.substr(at, end - at);
      if (line.rfind("data: ", 0) == 0) data += line + "\n";
      if (end == std::string::npos) break;
      at = end + 1;
    }
    return data;
  }

  std::string data_centre;
  upstream_table upstreams;
  fake_config_view config;
  fake_claim_gate claims;
  fake_upstream_port port;
  fake_caller_port callers;
  fake_clock time;
  fake_random_source random;
  fake_trace_sink traces;
  metrics_registry metrics;
  std::unique_ptr<request_system> system;
  std::uint64_t last_request;
};

}  // namespace hawthorndrum
