/// Tests of requests that spill between data centres: which may, what the answers are, and how the
/// receiving data centre's own callers fare.
#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "fake_fleet.h"
#include "systems/spill_system.h"

namespace hawthorndrum {
namespace {

host_entry DaemonAt(const std::string& address, const std::string& data_centre) {
  host_entry host;
  host.address = address;
  host.kind = host_kind::kDaemon;
  host.data_centre = data_centre;
  return host;
}

std::string HeaderOf(const http_request& request, std::string_view name) {
  return std::string(FindHeader(request.headers, name));
}

/**
 * Two daemons, one in each data centre; the test forwards what the first one spills to the second.
 */
struct two_data_centres {
  two_data_centres() {
    service_config chat = *here.config.Find("chat");
    chat.spill = true;
    here.config.Put(chat);
    there.config.Put(chat);
    const std::vector<host_entry> hosts = {DaemonAt("10.0.0.1:8002", "here"),
                                           DaemonAt("10.9.0.1:8002", "there")};
    here.system->OnHostList(hosts);
    there.system->OnHostList(hosts);
  }

  /** Forwards the first daemon's newest attempt to the second; returns its id there. */
  request_id ForwardToSecond() {
    const request_id id(++there.last_request);
    there.system->OnRequest(id, here.Last().request);
    there.Tick();
    return id;
  }

  /** Returns the second daemon's complete answer to the first. */
  void ReturnAnswer(request_id id) {
    const caller_record& record = there.Caller(id);
    const attempt_id attempt = here.Last().attempt;
    here.Head(attempt, record.status, record.headers);
    here.Bytes(attempt, record.body);
    here.Finish(attempt);
  }

  request_path here{1};
  request_path there{2, nullptr, "there"};
};

TEST(Spill, ADataCentreWithoutEnginesHandsOverAndRelaysTheWholeStream) {
  two_data_centres both;
  both.there.AddEngine("e:9");
  const request_id asked = both.here.Chat("x");
  ASSERT_EQ(both.here.port.sent.size(), 1U);
  EXPECT_EQ(both.here.Last().address, "10.9.0.1:8001");
  EXPECT_EQ(both.here.Last().request.target, "/services/chat/v1/chat/completions");
  EXPECT_EQ(HeaderOf(both.here.Last().request, "X-Request-Deadline-Ms"), "10000");
  const request_id spilled = both.ForwardToSecond();
  ASSERT_EQ(both.there.port.sent.size(), 1U);
  EXPECT_EQ(both.there.Last().address, "e:9");
  EXPECT_EQ(HeaderOf(both.there.Last().request, "X-Priority"), "0");
  EXPECT_EQ(HeaderOf(both.there.Last().request, spill_system::kHeader), "");
  both.there.Head(both.there.Last().attempt);
  both.there.Bytes(both.there.Last().attempt, request_path::Tokens(0, 3) + request_path::Done());
  both.ReturnAnswer(spilled);
  EXPECT_TRUE(both.here.Caller(asked).HasEnded());
  EXPECT_TRUE(both.here.Caller(asked).LooksComplete());
  EXPECT_EQ(request_path::DataOf(both.here.Caller(asked).body),
            request_path::DataOf(request_path::Tokens(0, 3) + request_path::Done()));
  EXPECT_EQ(both.here.system->in_flight() + both.there.system->in_flight(), 0U);
}

TEST(Spill, EnginesLostWhileARequestWaitsSpillIt) {
  two_data_centres both;
  both.here.AddEngine("e:1");
  both.here.Chat("x");
  EXPECT_EQ(both.here.Last().address, "e:1");
  both.here.At("e:1").leaving.host_list = true;
  both.here.Lose(both.here.Last().attempt, false, attempt_failure::kNotConnected);
  both.here.Chat("y");
  EXPECT_EQ(both.here.Last().address, "10.9.0.1:8001");
}

TEST(Spill, AFullDataCentresRefusalComesBackAsNotRunAndIsKeptAwayFrom) {
  two_data_centres both;
  both.there.AddEngine("e:9").report.queued_prefill_tokens = 30000;
  const request_id asked = both.here.Chat("x");
  const request_id spilled = both.ForwardToSecond();
  EXPECT_TRUE(both.there.port.sent.empty());
  EXPECT_EQ(both.there.Caller(spilled).status, 503);
  EXPECT_EQ(FindHeader(both.there.Caller(spilled).headers, "X-Not-Started"), "1");
  both.ReturnAnswer(spilled);
  EXPECT_EQ(both.here.Caller(asked).status, 503);
  EXPECT_NE(both.here.Caller(asked).body.find("not_run"), std::string::npos);
  both.here.Chat("y");
  EXPECT_EQ(both.here.port.sent.size(), 1U);
  both.here.Tick(spill_system::kAvoidance);
  both.here.Chat("z");
  EXPECT_EQ(both.here.port.sent.size(), 2U);
}

TEST(Spill, ALinkLostAfterTheRequestWasSentIsUnknown) {
  two_data_centres both;
  const request_id asked = both.here.Chat("x");
  both.here.Lose(both.here.Last().attempt);
  EXPECT_EQ(both.here.Caller(asked).status, 502);
  EXPECT_NE(both.here.Caller(asked).body.find("unknown"), std::string::npos);
  EXPECT_EQ(both.here.port.sent.size(), 1U);
}

TEST(Spill, ARequestRefusedElsewhereWaitsForItsOwnEngines) {
  two_data_centres both;
  upstream& engine = both.here.AddEngine("e:1");
  engine.avoid_until = both.here.time.Now() + milliseconds(500);
  const request_id asked = both.here.Chat("x");
  EXPECT_EQ(both.here.Last().address, "10.9.0.1:8001");
  both.ReturnAnswer(both.ForwardToSecond());
  EXPECT_FALSE(both.here.Caller(asked).HasEnded());
  both.here.Tick(milliseconds(600));
  EXPECT_EQ(both.here.Last().address, "e:1");
}

TEST(Spill, ASpilledRequestNeverGoesOn) {
  two_data_centres both;
  both.here.Chat("x");
  const request_id spilled = both.ForwardToSecond();
  EXPECT_TRUE(both.there.port.sent.empty());
  EXPECT_EQ(both.there.Caller(spilled).status, 503);
  // It does not go to an upstream of a third data centre either, even if the table holds one.
  both.there.AddEngine("e:1").data_centre = "third";
  both.there.Tick(seconds(1));
  EXPECT_EQ(both.there.Caller(both.ForwardToSecond()).status, 503);
  EXPECT_TRUE(both.there.port.sent.empty());
}

TEST(Spill, AForgedOrChangedMarkIsRefused) {
  two_data_centres both;
  both.there.AddEngine("e:9");
  both.here.Chat("x");
  const http_request genuine = both.here.Last().request;
  std::vector<http_request> forged(4, genuine);
  SetHeader(forged[0].headers, spill_system::kHeader, "here/1 " + std::string(64, '0'));
  forged[1].body += " ";
  SetHeader(forged[2].headers, spill_system::kHeader, "rubbish");
  const std::string mark = HeaderOf(genuine, spill_system::kHeader);
  SetHeader(forged[3].headers, spill_system::kHeader, "third" + mark.substr(mark.find('/')));
  for (const http_request& one : forged) {
    const request_id id(++both.there.last_request);
    both.there.system->OnRequest(id, one);
    both.there.Tick();
    EXPECT_EQ(both.there.Caller(id).status, 403);
  }
  EXPECT_TRUE(both.there.port.sent.empty());
  both.ForwardToSecond();
  EXPECT_EQ(both.there.port.sent.size(), 1U);
}

TEST(Spill, NeitherSideSpillsAServiceThatDoesNotAllowIt) {
  two_data_centres both;
  both.there.AddEngine("e:9");
  both.here.Chat("x");
  service_config chat = *both.here.config.Find("chat");
  chat.spill = false;
  both.there.config.Put(chat);
  EXPECT_EQ(both.there.Caller(both.ForwardToSecond()).status, 503);
  EXPECT_TRUE(both.there.port.sent.empty());
  both.here.config.Put(chat);
  const request_id refused = both.here.Chat("y");
  EXPECT_EQ(both.here.Caller(refused).status, 503);
  EXPECT_EQ(both.here.port.sent.size(), 1U);
}

TEST(Spill, WhatMayNotBeRepeatedNeverSpills) {
  two_data_centres both;
  for (const char* name : {"pay", "stock"}) {
    service_config service = *both.here.config.Find(name);
    service.spill = true;
    both.here.config.Put(service);
  }
  both.here.Post("/services/pay/p", "1", {{"Idempotency-Key", "k1"}});
  both.here.Post("/services/stock/s", "1", {{"Idempotency-Key", "k2"}});
  EXPECT_TRUE(both.here.port.sent.empty());
  both.here.Post("/services/stock/s", "1");
  EXPECT_EQ(both.here.port.sent.size(), 1U);
}

TEST(Spill, OnlyAShareOfTheServicesLimitsLeaves) {
  two_data_centres both;
  service_config chat = *both.here.config.Find("chat");
  chat.limits.concurrency = 64;
  both.here.config.Put(chat);
  for (int i = 0; i < 100; ++i) both.here.Chat("x" + std::to_string(i));
  EXPECT_EQ(both.here.port.sent.size(), 64 / spill_limits::kShare);
  both.here.Lose(both.here.Last().attempt);
  both.here.Tick(spill_system::kAvoidance);
  both.here.Chat("again");
  EXPECT_EQ(both.here.port.sent.size(), 64 / spill_limits::kShare + 1);
}

struct storm_result {
  double mean_seconds = 0;
  int own = 0;
  int spilled_answered = 0;
  int spilled_refused = 0;
};

/**
 * Runs own callers' requests on two engines for 30 s, beside `per_second` spilled requests from
 * another data centre.
 */
storm_result RunStorm(int own_per_second, int per_second) {
  fake_fleet fleet(1, 2, milliseconds(50));
  service_config chat = *fleet.daemons[0]->config.Find("chat");
  chat.spill = true;
  fleet.Publish(chat);
  metrics_registry metrics;
  fake_random_source random(7);
  const spill_system sender({request_path::kPeerKey, "8001"}, "there", random, metrics);
  std::map<request_id, time_point> own;
  storm_result result;
  double sum = 0;
  fleet.daemons[0]->callers.on_ended = [&](request_id id, const caller_record& record) {
    const auto asked = own.find(id);
    if (asked == own.end()) {
      (record.LooksComplete() ? result.spilled_answered : result.spilled_refused) += 1;
    } else if (record.LooksComplete()) {
      sum += ToSeconds(fleet.events.now() - asked->second);
      result.own += 1;
    }
  };
  request_path& path = *fleet.daemons[0];
  for (int tick = 0; tick < 3000; ++tick) {
    fleet.RunFor(milliseconds(10));
    path.time.Advance(fleet.events.now() - path.time.Now());
    if (tick % (100 / own_per_second) == 0) {
      own[request_id(path.last_request + 1)] = fleet.events.now();
      fleet.Post(0, "chat", fake_fleet::Body("own" + std::to_string(tick), 500, 32));
    }
    for (int i = 0; i < per_second / 100; ++i) {
      http_request request{"POST",
                           "/services/chat/v1/chat/completions",
                           {},
                           fake_fleet::Body("s" + std::to_string(tick * 100 + i), 500, 32)};
      sender.Mark(request, attempt_id(1));
      path.system->OnRequest(request_id(++path.last_request), std::move(request));
    }
  }
  fleet.RunFor(seconds(10));
  result.mean_seconds = sum / result.own;
  return result;
}

/** Returns the ratio of the own callers' mean time in the storm to that without it. */
double StormRatio(int own_per_second) {
  const storm_result calm = RunStorm(own_per_second, 0);
  const storm_result storm = RunStorm(own_per_second, 1000);
  const double ratio = storm.mean_seconds / calm.mean_seconds;
  std::printf(
      "%d own callers/s: mean %.4f s calm, %.4f s in the storm, ratio %.3f; spilled: %d "
      "answered, %d refused\n",
      own_per_second, calm.mean_seconds, storm.mean_seconds, ratio, storm.spilled_answered,
      storm.spilled_refused);
  EXPECT_EQ(calm.own, 30 * own_per_second);
  EXPECT_EQ(storm.own, 30 * own_per_second);
  EXPECT_GT(storm.spilled_answered, 0);
  EXPECT_EQ(storm.spilled_answered + storm.spilled_refused, 30000);
  return ratio;
}

TEST(Spill, ABusyDataCentresOwnCallersKeepTheirTimeUnderAStorm) { EXPECT_LT(StormRatio(10), 1.1); }

TEST(Spill, AQuietDataCentreTakesWorkAndItsOwnCallersKeepTheirTime) {
  EXPECT_LT(StormRatio(2), 1.1);
}

}  // namespace
}  // namespace hawthorndrum
