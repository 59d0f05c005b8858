/// A gateway with fake ports and one route of each kind.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/metrics_registry.h"
#include "crashes/crash_record.h"
#include "fake_caller_port.h"
#include "fake_clock.h"
#include "fake_random_source.h"
#include "fake_stream_origins.h"
#include "fake_upstream_calls.h"
#include "gateway/gateway.h"
#include "platform_dialect.h"
#include "recording_log.h"

namespace hawthorndrum {

/** Uses the platform's dialect, so that tests check what is sent on the wire. */
class GatewayFixtureTest : public testing::Test {
 protected:
  GatewayFixtureTest() : served(Ports()) {
    Configure(1);
    served.SetFleetKnown();
    served.SetRetryShare(1);
    served.SetDaemons({});
  }

  static route MakeRoute(std::string prefix, route_kind kind, std::string service) {
    route made;
    made.name = prefix;
    made.host = "shop.example";
    made.path_prefix = std::move(prefix);
    made.kind = kind;
    made.timeout = seconds(4);
    made.objective = milliseconds(500);
    made.attempts = 2;
    made.targets = {{std::move(service), 1}};
    return made;
  }

  static std::shared_ptr<gateway_config> MakeConfig(std::uint64_t version) {
    auto config = std::make_shared<gateway_config>();
    config->version = version;
    config->routes = {MakeRoute("/look/", route_kind::kSafe, "desk"),
                      MakeRoute("/pay/", route_kind::kUnsafe, "desk"),
                      MakeRoute("/tell/", route_kind::kStream, "llm"),
                      MakeRoute("/note/", route_kind::kStream, "llm")};
    config->routes[2].resumable = true;
    for (route& each : config->routes) each.longest_pause = milliseconds(200);
    gateway_service llm;
    llm.name = "llm";
    llm.is_engine = true;
    llm.slots = 64;
    llm.memory_tokens = 500000;
    llm.token_bytes = 160000;
    llm.link_mbps = 2e6;
    gateway_service desk;
    desk.name = "desk";
    config->services = {llm, desk};
    config->Index();
    return config;
  }
  void Configure(std::uint64_t version) { served.SetConfig(MakeConfig(version)); }

  upstream_id Add(const std::string& id, const std::string& service,
                  engine_stage stage = engine_stage::kNone, bool leaving = false) {
    upstream_entry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "10.0.0.1:" + std::to_string(++last_port);
    entry.data_centre = "north";
    entry.stage = stage;
    entry.slots = service == "llm" ? 64 : 6;
    entry.leaving = leaving;
    return served.fleet().Put(entry).id;
  }

  request_id Ask(const std::string& path, std::vector<http_header> more = {},
                 const std::string& body = "body") {
    http_request request;
    request.method = "POST";
    request.target = path;
    request.body = body;
    request.headers = {{"Host", "shop.example"},
                       {"X-Hawthorndrum-Request-Id", "q" + std::to_string(++last_request)},
                       {"X-Hawthorndrum-Deadline-Ms", "3000"}};
    for (http_header& header : more) request.headers.push_back(std::move(header));
    const request_id id(last_request);
    served.OnRequest(id, std::move(request));
    return id;
  }
  /** Sends a generation whose prompt shares `shared` tokens with others of the group. */
  request_id AskPrompt(const std::string& path, const std::string& group, int shared, int own) {
    const std::string last = std::to_string(last_request + 1000);
    return Ask(path, {{"X-Hawthorndrum-Model", "m"},
                      {"X-Hawthorndrum-Token-Count", std::to_string(shared + own) + ",100"},
                      {"X-Hawthorndrum-Prompt-Prefix", group + ":" + std::to_string(shared) + "," +
                                                           last + ":" + std::to_string(own)}});
  }

  const fake_upstream_calls::record& last() const { return upstreams.sent.back(); }
  std::string_view SentHeader(std::string_view name) const {
    return FindHeader(last().call.request.headers, name);
  }
  void Head(int status, bool sealed = true) {
    std::vector<http_header> headers;
    if (sealed) headers.push_back({"X-Hawthorndrum-Response-Seal", "seal"});
    served.OnAttemptHead({last().call.attempt, status, headers});
  }
  void Bytes(const std::string& bytes) { served.OnAttemptBytes({last().call.attempt, bytes}); }
  void Done() { served.OnAttemptFinished({last().call.attempt}); }
  void Lost(attempt_failure failure = attempt_failure::kConnectionLost, bool sent = true) {
    served.OnAttemptLost({last().call.attempt, failure, sent});
  }
  /** Answers the last call with a statement that it did not run. */
  void Refused() {
    served.OnAttemptHead({last().call.attempt, 503, {{"X-Hawthorndrum-Not-Executed", "1"}}});
    Done();
  }
  void Answered(const std::string& body) {
    Head(200);
    Bytes(body);
    Done();
  }
  void PrefillDone() {
    served.OnAttemptHead({last().call.attempt, 200, {}});
    Bytes(R"({"handle":"h1","tokens":5000,"version":1})");
    Done();
  }
  /** Ticks at least every 100 ms, as the daemon does. */
  void Pass(duration time) {
    constexpr duration kTick = milliseconds(100);
    for (duration left = time; left > duration(0); left -= kTick) {
      clock.Advance(std::min(left, kTick));
      served.Run(clock.Now());
    }
  }
  /** Lets time pass without a tick, as when the process is frozen, then ticks once. */
  void Delay(duration time) {
    clock.Advance(time);
    served.Run(clock.Now());
  }
  const caller_record& CallerOf(request_id id) { return callers.records[id]; }

  gateway_ports Ports() {
    gateway_ports ports;
    ports.callers = &callers;
    ports.upstreams = &upstreams;
    ports.dialect = &dialect;
    ports.time = &clock;
    ports.random = &random;
    ports.log = &log;
    ports.metrics = &metrics;
    ports.origins = &origins;
    ports.crashes = &crashes;
    ports.data_centre = "north";
    ports.incarnation = incarnation_id(7);
    ports.retries.reserve = 100;
    return ports;
  }

  fake_caller_port callers;
  fake_upstream_calls upstreams;
  platform_dialect dialect;
  fake_clock clock;
  fake_random_source random;
  recording_log log;
  metrics_registry metrics;
  fake_stream_origins origins;
  crash_record crashes;
  gateway served;
  std::uint64_t last_request = 0;
  int last_port = 8000;
};

}  // namespace hawthorndrum
