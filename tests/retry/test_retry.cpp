/// Tests of retries: their budget, what may be retried, and that they don't multiply the load.
#include <gtest/gtest.h>

#include <set>

#include "request_path.h"

namespace hawthorndrum {
namespace {

TEST(Retry, BudgetKeepsAttemptsWithinATenthOfTheRequests) {
  request_path path;
  for (int i = 0; i < 10; ++i) path.AddWorker("w:" + std::to_string(i), "stock");
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    path.Post("/services/stock/" + std::to_string(i), "");
    const std::size_t before = path.port.sent.size();
    path.Lose(path.Last().attempt, true, attempt_failure::kMalformed);
    path.Tick(milliseconds(100));
    if (path.port.sent.size() > before)
      path.Lose(path.Last().attempt, true, attempt_failure::kMalformed);
    path.Tick(milliseconds(100));
  }
  EXPECT_LE(path.port.sent.size(),
            kRequests * (1 + retry_budget::kRetriesPerRequest) + retry_budget::kReserve);
  EXPECT_GT(path.port.sent.size(), static_cast<std::size_t>(kRequests));
}

TEST(Retry, NeverAtTheSameUpstreamAndNeverPastTheDeadline) {
  request_path path;
  for (int i = 0; i < 6; ++i) path.AddWorker("w:" + std::to_string(i), "stock");
  const request_id id = path.Post("/services/stock/a", "", {{"X-Request-Deadline-Ms", "30"}});
  std::set<std::string> tried;
  for (int i = 0; i < 10 && !path.Caller(id).HasEnded(); ++i) {
    EXPECT_TRUE(tried.insert(path.Last().address).second);
    const std::size_t before = path.port.sent.size();
    path.Lose(path.Last().attempt, false, attempt_failure::kNotConnected);
    path.Tick(milliseconds(20));
    if (path.port.sent.size() == before) break;
  }
  path.Tick(seconds(1));
  EXPECT_TRUE(path.Caller(id).HasEnded());
  EXPECT_LE(path.port.sent.size(), 2U);
  EXPECT_NE(path.Caller(id).body.find("\"outcome\":\"not_run\""), std::string::npos);
}

TEST(Retry, AFailedUpstreamIsAvoidedForAWhile) {
  request_path path;
  path.AddWorker("w:1", "stock");
  path.AddWorker("w:2", "stock");
  path.Post("/services/stock/a", "");
  const std::string failed = path.Last().address;
  path.Lose(path.Last().attempt, false, attempt_failure::kNotConnected);
  // A request whose fingerprint was not answered before first waits for the peers' crash reports.
  path.Tick(milliseconds(260));
  for (int i = 0; i < 20; ++i) {
    path.Post("/services/stock/" + std::to_string(i), "");
    EXPECT_NE(path.Last().address, failed);
  }
  path.Tick(seconds(2));
  bool used_again = false;
  for (int i = 0; i < 20; ++i) {
    path.Post("/services/stock/" + std::to_string(i), "");
    used_again |= path.Last().address == failed;
  }
  EXPECT_TRUE(used_again);
}

/// A request with the same fingerprint may have crashed the engine at another daemon a moment
/// before, whose report has not arrived yet.
TEST(Retry, AnUnprovenRequestWaitsForReportsOfARecentFailure) {
  request_path path;
  path.AddEngine("e:1");
  path.AddEngine("e:2");
  path.AddEngine("e:3");
  path.Chat("never answered");
  path.Lose(path.Last().attempt, false, attempt_failure::kNotConnected);
  path.Tick(milliseconds(100));
  path.Tick(milliseconds(100));
  EXPECT_EQ(path.port.sent.size(), 1U);
  path.Tick(milliseconds(100));
  path.Tick(milliseconds(100));
  EXPECT_EQ(path.port.sent.size(), 2U);
}

TEST(Retry, AnEngineThatIsFullProvesThatItDidNotStart) {
  request_path path;
  path.AddEngine("e:1");
  const request_id id = path.Chat("x");
  path.Head(path.Last().attempt, 503, {{"X-Not-Started", "1"}});
  path.Tick(seconds(1));
  EXPECT_EQ(path.Caller(id).status, 503);
  EXPECT_NE(path.Caller(id).body.find("\"outcome\":\"not_run\""), std::string::npos);
  EXPECT_FALSE(FindHeader(path.Caller(id).headers, "Retry-After").empty());
}

TEST(Retry, AnEngineFailureAfterAllTriesIsToldAsFailed) {
  request_path path;
  path.AddEngine("e:1");
  path.AddEngine("e:2");
  const request_id id = path.Chat("x", false);
  for (int i = 0; i < 2; ++i) {
    path.Head(path.Last().attempt, 500);
    path.Finish(path.Last().attempt);
    path.Tick(seconds(1));
  }
  EXPECT_EQ(path.port.sent.size(), 2U);
  EXPECT_EQ(path.Caller(id).status, 502);
  EXPECT_NE(path.Caller(id).body.find("\"outcome\":\"failed\""), std::string::npos);
}

}  // namespace
}  // namespace hawthorndrum
