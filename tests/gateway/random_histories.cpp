/// Plays random histories of the gateway: whatever happens, each request has exactly one end.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "relay/relay_headers.h"

namespace hawthorndrum {
namespace {

constexpr int kHistories = 150;
constexpr int kSteps = 400;

/**
 * The load: callers of all kinds, with odd sizes and resumptions; upstreams that answer, fail, fall
 * silent, change and leave; other daemons; configurations in quick succession.
 */
class RandomHistoriesTest : public GatewayFixtureTest {
 protected:
  std::uint64_t Below(std::uint64_t bound) { return engine() % bound; }
  bool Chance(int percent) { return Below(100) < static_cast<std::uint64_t>(percent); }
  template <typename T>
  const T& Pick(const std::vector<T>& from) {
    return from[Below(from.size())];
  }
  std::string Number() {
    return Pick<std::string>({"0", "1", "3720", "90000", "18446744073709551615", "-1", "x", ""});
  }

  void Ask() {
    std::vector<http_header> headers;
    if (Chance(70)) {
      headers.push_back({"X-Hawthorndrum-Token-Count", Number() + "," + Number()});
      std::string parts;
      for (std::uint64_t i = Below(4); i > 0; --i)
        parts += (parts.empty() ? "" : ",") + std::to_string(Below(6)) + ":" + Number();
      headers.push_back({"X-Hawthorndrum-Prompt-Prefix", parts});
    }
    if (Chance(20)) headers.push_back({"Last-Event-Id", Number()});
    if (Chance(20)) headers.push_back({"Resumes", "q" + std::to_string(Below(9))});
    const std::string path =
        Pick<std::string>({"/look/x", "/pay/x", "/tell/x", "/note/x", "/none/x"});
    if (Chance(85)) {
      asked.push_back(GatewayFixtureTest::Ask(path, headers));
      return;
    }
    http_request request;
    request.method = "POST";
    request.target = path;
    request.headers = std::move(headers);
    request.headers.push_back({"Host", "shop.example"});
    relay_terms terms;
    terms.host = "g2";
    terms.time_left = milliseconds(Below(4000));
    terms.runs = static_cast<int>(Below(3));
    if (Chance(30)) terms.build = software_build(Below(3));
    SetRelayTerms(terms, request.headers);
    asked.emplace_back(++last_request);
    served.OnPassedOn(asked.back(), std::move(request));
  }

  void AnswerSome() {
    if (upstreams.sent.empty()) return;
    const std::size_t newest = std::min<std::size_t>(upstreams.sent.size(), 12);
    const attempt_id attempt =
        upstreams.sent[upstreams.sent.size() - 1 - Below(newest)].call.attempt;
    switch (Below(7)) {
      case 0:
      case 1: {
        std::vector<http_header> headers;
        if (Chance(80)) headers.push_back({"X-Hawthorndrum-Response-Seal", "seal"});
        if (Chance(10)) headers.push_back({"X-Hawthorndrum-Not-Executed", "1"});
        if (Chance(10)) headers.push_back({"X-Hawthorndrum-Instance-Id", "u" + Number()});
        if (Chance(10)) headers.push_back({"Retry-After", Number()});
        if (Chance(10)) headers.push_back({"Server-Limit", Number()});
        if (Chance(5)) headers.push_back({"Server-Leaving", "1"});
        if (Chance(30))
          SetRelayAnswer({static_cast<relay_outcome>(Below(5)), upstream_id(Below(9))}, headers);
        const int status = Pick<int>({200, 200, 200, 204, 404, 421, 429, 500, 503, 504});
        return served.OnAttemptHead({attempt, status, std::move(headers)});
      }
      case 2:
      case 3:
        return served.OnAttemptBytes(
            {attempt, Pick<std::string>({"id: 1\ndata: t\n\n", "id: 2\ndata: t\n\n", "id: 3\nda",
                                         "\n\n", "sorry", R"({"handle":"h1"})", "{\n\n"})});
      case 4:
        return served.OnAttemptFinished({attempt, Chance(20)});
      case 5:
        return served.OnAttemptConnected({attempt});
      default:
        return served.OnAttemptLost({attempt, static_cast<attempt_failure>(Below(4)), Chance(70)});
    }
  }

  void ChangeFleet() {
    upstream_entry entry;
    entry.id = "u" + std::to_string(Below(8));
    if (Chance(25)) return served.fleet().Remove(entry.id, clock.Now());
    entry.service = Pick<std::string>({"llm", "llm", "desk", "other"});
    entry.address = "10.0.0.1:" + std::to_string(8000 + Below(4));
    entry.data_centre = Pick<std::string>({"north", "south", ""});
    entry.software_version = Pick<std::string>({"v1", "v2"});
    entry.slots = Pick<std::uint32_t>({0, 1, 6, 64});
    entry.stage =
        entry.service == "llm" ? static_cast<engine_stage>(Below(3)) : engine_stage::kNone;
    entry.leaving = Chance(15);
    entry.born = Pick<std::uint64_t>({0, 1, 2});
    served.fleet().Put(entry);
  }

  void ChangeConfig() {
    const auto config = MakeConfig(++version);
    std::shuffle(config->routes.begin(), config->routes.end(), engine);
    std::shuffle(config->services.begin(), config->services.end(), engine);
    if (Chance(30)) config->routes.resize(Below(config->routes.size()));
    if (Chance(20)) config->services.resize(Below(config->services.size() + 1));
    for (route& each : config->routes) {
      each.attempts = static_cast<int>(Below(4));
      each.objective = milliseconds(Below(800));
      each.timeout = milliseconds(Below(5000));
      each.resumable = Chance(50);
      if (Chance(20)) each.targets.push_back({Pick<std::string>({"llm", "desk", "none"}), 1});
      if (Chance(10)) each.targets.front().weight = 0;
    }
    for (gateway_service& each : config->services) {
      each.link_mbps = Pick<double>({0, 1e-310, 2e6});
      each.token_bytes = Pick<std::uint64_t>({0, 160000, ~0ULL});
      each.memory_tokens = Pick<std::uint64_t>({0, 1000, 500000});
    }
    config->Index();
    served.SetConfig(config);
  }

  void HearOthers() {
    load_notice notice;
    notice.sender = incarnation_id(8 + Below(2));
    notice.sequence = ++version;
    notice.data_centre = Pick<std::string>({"north", "south"});
    for (std::uint64_t i = 0; i < 8; ++i) {
      upstream_entry entry;
      entry.id = "u" + std::to_string(i);
      const upstream_id id = fleet_table::IdOf(entry);
      if (Chance(30)) notice.work.push_back({id, {}, milliseconds(Below(2000))});
      if (Chance(10))
        notice.avoided.push_back({id, milliseconds(500), static_cast<avoidance_reason>(Below(4))});
      if (Chance(10)) notice.limits.push_back({id, Chance(50) ? 0.5 : 100, milliseconds(10)});
    }
    if (Chance(30)) notice.demand.push_back({"llm", Below(1000000), Below(3), Below(3)});
    served.OnNotice(notice);
  }

  void LeaveSome() {
    if (asked.empty() || Chance(70)) return;
    const request_id left = asked[Below(asked.size())];
    gone.insert(left);
    served.OnCallerGone(left);
  }

  void Step() {
    switch (Below(12)) {
      case 0:
      case 1:
      case 2:
        return Ask();
      case 3:
        return ChangeFleet();
      case 4:
        if (Chance(20)) ChangeConfig();
        return;
      case 5:
        return HearOthers();
      case 6:
        return LeaveSome();
      case 7:
        for (const upstream_id each : std::exchange(upstreams.probes, {}))
          served.OnProbeEnded({each, Chance(40)});
        return;
      case 8:
        served.OnOrigin(StreamKeyOf("q" + std::to_string(Below(9))),
                        Chance(50) ? std::optional(BuildOf("llm", "v1")) : std::nullopt);
        return;
      case 9:
        if (Chance(10)) served.SetDaemons({{"g2", "10.9.0.2:7600", "south"}});
        return Pass(milliseconds(Below(400)));
      default:
        return AnswerSome();
    }
  }

  std::mt19937_64 engine;
  std::vector<request_id> asked;
  /** Requests whose callers left. */
  std::set<request_id> gone;
  std::uint64_t version = 10;
};

// Guards against a process that ends by a fault of its own, and against requests without an end.
TEST_F(RandomHistoriesTest, EachRequestEndsOnce) {
  for (int history = 0; history < kHistories; ++history) {
    engine.seed(static_cast<std::uint64_t>(history));
    asked.clear();
    gone.clear();
    callers.records.clear();
    for (int step = 0; step < kSteps; ++step) Step();
    served.EndAll();
    ASSERT_EQ(served.in_flight(), 0u) << history;
    for (const request_id id : asked) {
      const caller_record& caller = callers.records[id];
      const int ends = caller.answers + caller.ends + caller.aborts;
      ASSERT_LE(ends, 1) << history;
      ASSERT_TRUE(ends == 1 || gone.count(id) > 0) << history;
      ASSERT_LE(caller.begins, caller.ends + caller.aborts + (gone.count(id) > 0 ? 1 : 0))
          << history;
    }
  }
}

}  // namespace
}  // namespace hawthorndrum
