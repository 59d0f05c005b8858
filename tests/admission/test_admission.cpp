/// Tests of admission: limits, order and early refusal.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "request_path.h"

namespace hawthorndrum {
namespace {

/** Publishes the plain service `stock` with other limits and priority. */
void Publish(request_path& path, const service_limits& limits, const std::string& name = "stock",
             int priority = 5) {
  service_config service;
  service.name = name;
  service.kind = service_kind::kPlain;
  service.pool = "stock";
  service.priority = priority;
  service.limits = limits;
  path.config.Put(service);
}

void Serve(request_path& path, attempt_id attempt) {
  path.Head(attempt);
  path.Bytes(attempt, "ok");
  path.Finish(attempt);
}

TEST(Admission, RefusesOverTheRateAndSaysWhenToComeBack) {
  request_path path;
  path.AddWorker("w:1", "stock");
  service_limits limits;
  limits.requests_per_second = 0.5;
  limits.burst = 2;
  Publish(path, limits);
  path.Post("/services/stock/a", "");
  path.Post("/services/stock/b", "");
  const request_id third = path.Post("/services/stock/c", "");
  EXPECT_EQ(path.Caller(third).status, 429);
  EXPECT_EQ(FindHeader(path.Caller(third).headers, "Retry-After"), "2");
  EXPECT_NE(path.Caller(third).body.find("\"outcome\":\"not_run\""), std::string::npos);
  path.Tick(seconds(2));
  const request_id fourth = path.Post("/services/stock/d", "");
  EXPECT_EQ(path.callers.records.count(fourth), 0U);
  EXPECT_EQ(path.port.sent.size(), 3U);
}

TEST(Admission, KeepsTheConcurrencyAndTheQueueWithinTheirBounds) {
  request_path path;
  path.AddWorker("w:1", "stock");
  service_limits limits;
  limits.concurrency = 2;
  limits.queue_length = 3;
  Publish(path, limits);
  for (int i = 0; i < 5; ++i) path.Post("/services/stock/" + std::to_string(i), "");
  EXPECT_EQ(path.port.sent.size(), 2U);
  const request_id sixth = path.Post("/services/stock/6", "");
  EXPECT_EQ(path.Caller(sixth).status, 429);
  Serve(path, path.port.sent[0].attempt);
  EXPECT_EQ(path.port.sent.size(), 3U);
}

TEST(Admission, ACallerOnThePhoneNeverWaitsBehindDigests) {
  request_path path;
  path.AddWorker("w:1", "stock");
  service_limits limits;
  limits.concurrency = 1;
  Publish(path, limits, "digest", 1);
  Publish(path, limits, "stock", 9);
  path.At("w:1").planned_change = true;
  for (int i = 0; i < 5; ++i) path.Post("/services/digest/" + std::to_string(i), "");
  path.Post("/services/stock/phone", "");
  path.At("w:1").planned_change = false;
  path.Tick(milliseconds(50));
  ASSERT_EQ(path.port.sent.size(), 2U);
  EXPECT_EQ(path.port.sent[0].request.target, "/phone");
}

/// Urgent phone requests keep the engine's queue long; the low-priority digest is sent all the
/// same.
TEST(Admission, NothingStarves) {
  request_path path;
  upstream& engine = path.AddEngine("e:1");
  engine.report.queued_prefill_tokens = 20000;
  service_config digest = *path.config.Find("chat");
  digest.priority = 0;
  digest.useful_within = seconds(20);
  path.config.Put(digest);
  service_config phone = digest;
  phone.name = "phone";
  phone.priority = 9;
  path.config.Put(phone);
  path.Chat("digest");
  EXPECT_TRUE(path.port.sent.empty());
  bool digest_sent = false;
  const std::string body = "{\"messages\":[{\"role\":\"user\",\"content\":\"phone ";
  for (int i = 0; i < 100; ++i) {
    path.Post("/services/phone/v1/chat/completions", body + std::to_string(i) + "\"}]}");
    path.At("e:1").report_time = path.time.Now();
    path.Tick(milliseconds(150));
    const std::string& sent = path.Last().request.body;
    digest_sent |= sent.find("digest") != std::string::npos;
    path.Head(path.Last().attempt);
    path.Bytes(path.Last().attempt, request_path::Tokens(0, 1) + request_path::Done());
  }
  EXPECT_TRUE(digest_sent);
}

TEST(Admission, RefusesAtOnceWhatCannotBeInTime) {
  request_path path;
  upstream& engine = path.AddEngine("e:1");
  engine.report.queued_prefill_tokens = 1000000;
  const request_id id = path.Chat("hello", true, {{"X-Request-Deadline-Ms", "2000"}});
  EXPECT_EQ(path.Caller(id).status, 503);
  EXPECT_NE(path.Caller(id).body.find("too_late"), std::string::npos);
  EXPECT_FALSE(FindHeader(path.Caller(id).headers, "Retry-After").empty());
  EXPECT_TRUE(path.port.sent.empty());
}

TEST(Admission, WhatWaitedTooLongIsToldSoWithoutBeingRun) {
  request_path path;
  path.AddWorker("w:1", "stock");
  path.At("w:1").planned_change = true;
  const request_id id = path.Post("/services/stock/a", "");
  path.Tick(seconds(9));
  EXPECT_EQ(path.callers.records.count(id), 0U);
  path.Tick(seconds(1));
  path.Tick(milliseconds(20));
  EXPECT_EQ(path.Caller(id).status, 503);
  EXPECT_NE(path.Caller(id).body.find("\"outcome\":\"not_run\""), std::string::npos);
  path.At("w:1").planned_change = false;
  path.Tick(seconds(1));
  EXPECT_TRUE(path.port.sent.empty());
}

TEST(Admission, CallersMayLowerButNotRaiseWhatTheirServiceAllows) {
  request_path path;
  path.AddWorker("w:1", "stock");
  path.Post("/services/stock/a", "", {{"X-Priority", "9"}});
  EXPECT_EQ(FindHeader(path.Last().request.headers, "X-Priority"), "5");
  path.Post("/services/stock/a", "", {{"X-Priority", "2"}});
  EXPECT_EQ(FindHeader(path.Last().request.headers, "X-Priority"), "2");
  const request_id slow =
      path.Post("/services/stock/a", "", {{"X-Request-Deadline-Ms", "9999999"}});
  path.Tick(seconds(60));
  EXPECT_EQ(path.Caller(slow).status, 504);
}

/// Slow answers alone must not make a service count as full.
TEST(Admission, ASlowPlainServiceIsNotTakenForAFullOne) {
  request_path path;
  path.AddWorker("w:1", "stock");
  for (int i = 0; i < 20; ++i) {
    path.Post("/services/stock/" + std::to_string(i), "");
    ASSERT_EQ(path.port.sent.size(), static_cast<std::size_t>(i) + 1);
    path.Tick(milliseconds(900));
    Serve(path, path.Last().attempt);
  }
}

RC_GTEST_PROP(Admission, QueueOrderFollowsPriorityAndAge,
              (const std::vector<std::uint8_t>& priorities)) {
  request_path path;
  path.AddWorker("w:1", "stock");
  service_limits limits;
  limits.burst = 100000;
  limits.queue_length = 100000;
  path.At("w:1").planned_change = true;
  for (const std::uint8_t drawn : priorities) {
    const int priority = drawn % 10;
    Publish(path, limits, "s" + std::to_string(priority), priority);
    path.Post("/services/s" + std::to_string(priority) + "/" + std::to_string(priority), "");
  }
  path.At("w:1").planned_change = false;
  // Only the first seven dispatches: age alone decides the eighth.
  path.Tick(milliseconds(20));
  const std::size_t ordered = std::min<std::size_t>(path.port.sent.size(), 7);
  for (std::size_t i = 1; i < ordered; ++i) {
    RC_ASSERT(path.port.sent[i - 1].request.target >= path.port.sent[i].request.target);
  }
  for (std::size_t i = 0; i < path.port.sent.size(); ++i) Serve(path, path.port.sent[i].attempt);
  RC_ASSERT(path.port.sent.size() == priorities.size());
}

}  // namespace
}  // namespace hawthorndrum
