/// Tests of the store client under the faults of the platform's store.
#include <gtest/gtest.h>

#include "base/metrics_registry.h"
#include "fake_clock.h"
#include "fake_object_store.h"
#include "fake_random_source.h"
#include "systems/store_client.h"

namespace hawthorndrum {
namespace {

class recorder : public store_listener {
 public:
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override {
    answers.emplace_back(id, answer);
  }
  store_outcome last() const { return answers.back().second.outcome; }
  std::vector<std::pair<store_call_id, store_answer>> answers;
};

class storing : public testing::Test {
 protected:
  store_call_id Submit(store_operation operation, duration timeout = seconds(2)) {
    store_call call;
    call.operation = operation;
    call.key = "k";
    call.value = "v";
    call.timeout = timeout;
    return client.Submit(call, listener);
  }
  void AdvanceAndRun(duration time) {
    clock.Advance(time);
    client.Run(clock.Now());
  }
  std::uint64_t Count(std::string_view name, std::string_view labels = {}) {
    return metrics.Counter(name, labels).value();
  }
  /** Refuses every call that waits at the store. */
  void RefuseAll() {
    while (!store.waiting().empty()) store.FailAt(0, store_outcome::kRefused);
  }
  void OpenBreaker() {
    for (int i = 0; i < 5; ++i) {
      Submit(store_operation::kCreate);
      RefuseAll();
    }
    ASSERT_EQ(client.state(), breaker_state::kOpen);
  }

  fake_object_store store;
  fake_store_client raw{store, 0};
  fake_clock clock;
  fake_random_source random;
  metrics_registry metrics;
  store_client client{raw, clock, random, metrics};
  recorder listener;
};

TEST_F(storing, SlowAnswerWithinItsTimeoutIsGivenOn) {
  Submit(store_operation::kCreate);
  AdvanceAndRun(milliseconds(1900));
  EXPECT_TRUE(listener.answers.empty());
  store.RunAll();
  EXPECT_EQ(listener.last(), store_outcome::kDone);
  EXPECT_EQ(client.state(), breaker_state::kClosed);
}

TEST_F(storing, WriteWithoutAnswerIsUnknownAndLandsLate) {
  Submit(store_operation::kCreate);
  AdvanceAndRun(seconds(2));
  ASSERT_EQ(listener.answers.size(), 1u);
  EXPECT_EQ(listener.last(), store_outcome::kUnknown);
  store.RunAll();
  EXPECT_EQ(store.objects().count("k"), 1u);
  EXPECT_EQ(listener.answers.size(), 1u);
  EXPECT_EQ(Count("store_late_answers"), 1u);
}

TEST_F(storing, LostAnswerToAWriteIsUnknownAndReadBack) {
  Submit(store_operation::kCreate);
  store.RunAtLosingAnswer(0);
  EXPECT_EQ(listener.last(), store_outcome::kUnknown);
  Submit(store_operation::kGet);
  store.RunAll();
  EXPECT_EQ(listener.last(), store_outcome::kDone);
  EXPECT_EQ(listener.answers.back().second.value, "v");
}

TEST_F(storing, ReadWithoutAnswerIsRefused) {
  Submit(store_operation::kGet);
  AdvanceAndRun(seconds(2));
  EXPECT_EQ(listener.last(), store_outcome::kRefused);
}

TEST_F(storing, RefusedReadIsTriedAgainWithinItsTimeout) {
  Submit(store_operation::kGet);
  RefuseAll();
  EXPECT_TRUE(listener.answers.empty());
  AdvanceAndRun(milliseconds(20));
  store.RunAll();
  ASSERT_EQ(listener.answers.size(), 1u);
  EXPECT_EQ(listener.last(), store_outcome::kMissing);
  EXPECT_EQ(Count("store_read_retries"), 1u);
}

TEST_F(storing, RefusedReadEndsAtItsTimeout) {
  Submit(store_operation::kGet, milliseconds(50));
  for (int i = 0; i < 10 && listener.answers.empty(); ++i) {
    RefuseAll();
    AdvanceAndRun(milliseconds(20));
  }
  ASSERT_EQ(listener.answers.size(), 1u);
  EXPECT_EQ(listener.last(), store_outcome::kRefused);
}

TEST_F(storing, WritesAreNeverTriedAgain) {
  Submit(store_operation::kUpdate);
  RefuseAll();
  EXPECT_EQ(listener.last(), store_outcome::kRefused);
  AdvanceAndRun(seconds(1));
  EXPECT_TRUE(store.waiting().empty());
  EXPECT_EQ(store.calls(), 1u);
}

TEST_F(storing, StaleWatchIsGivenOn) {
  Submit(store_operation::kWatch);
  store.FailAt(0, store_outcome::kStale);
  EXPECT_EQ(listener.last(), store_outcome::kStale);
}

TEST_F(storing, WatchThatEndsSilentlyIsEndedAfterItsGrace) {
  Submit(store_operation::kWatch, seconds(30));
  AdvanceAndRun(seconds(30));
  EXPECT_TRUE(listener.answers.empty());
  AdvanceAndRun(seconds(2));
  ASSERT_EQ(listener.answers.size(), 1u);
  EXPECT_EQ(listener.last(), store_outcome::kRefused);
  EXPECT_EQ(Count("store_timeouts", MetricLabel("kind", "watch")), 1u);
}

TEST_F(storing, WaitingWatchCountsAsOneCall) {
  Submit(store_operation::kWatch, seconds(30));
  AdvanceAndRun(seconds(10));
  AdvanceAndRun(seconds(10));
  EXPECT_EQ(Count("store_calls_sent", MetricLabel("kind", "watch")), 1u);
}

TEST_F(storing, OpenBreakerRefusesWithoutSending) {
  OpenBreaker();
  const std::uint64_t calls = store.calls();
  Submit(store_operation::kCreate);
  EXPECT_EQ(store.calls(), calls);
  const std::size_t before = listener.answers.size();
  client.Run(clock.Now());
  ASSERT_EQ(listener.answers.size(), before + 1);
  EXPECT_EQ(listener.last(), store_outcome::kRefused);
}

TEST_F(storing, HalfOpenLetsOneProbePassAndClosesOnItsSuccess) {
  OpenBreaker();
  AdvanceAndRun(milliseconds(500));
  const std::uint64_t calls = store.calls();
  Submit(store_operation::kGet);
  Submit(store_operation::kCreate);
  Submit(store_operation::kWatch);
  EXPECT_EQ(store.calls(), calls + 1);
  store.RunAll();
  EXPECT_EQ(client.state(), breaker_state::kClosed);
}

TEST_F(storing, CallsThatAwaitTheProbeAreSentAfterItsSuccess) {
  OpenBreaker();
  AdvanceAndRun(milliseconds(500));
  listener.answers.clear();
  Submit(store_operation::kGet);
  const std::uint64_t calls = store.calls();
  Submit(store_operation::kCreate);
  AdvanceAndRun(milliseconds(100));
  EXPECT_EQ(store.calls(), calls);
  EXPECT_TRUE(listener.answers.empty());
  store.RunAll();
  AdvanceAndRun(milliseconds(1));
  store.RunAll();
  ASSERT_EQ(listener.answers.size(), 2u);
  EXPECT_EQ(listener.last(), store_outcome::kDone);
}

TEST_F(storing, CallsThatAwaitTheProbeAreRefusedUnsentWhenItFails) {
  OpenBreaker();
  AdvanceAndRun(milliseconds(500));
  Submit(store_operation::kCreate);
  const std::uint64_t calls = store.calls();
  listener.answers.clear();
  Submit(store_operation::kCreate);
  RefuseAll();
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(store.calls(), calls);
  ASSERT_EQ(listener.answers.size(), 2u);
  EXPECT_EQ(listener.last(), store_outcome::kRefused);
}

TEST_F(storing, CallsAwaitTheProbeNoLongerThanTheirTimeoutAndInBoundedNumber) {
  OpenBreaker();
  AdvanceAndRun(milliseconds(500));
  Submit(store_operation::kCreate);
  const std::uint64_t calls = store.calls();
  listener.answers.clear();
  const std::size_t bound = store_client_limits().outstanding;
  for (std::size_t i = 0; i < bound + 5; ++i) Submit(store_operation::kCreate, milliseconds(300));
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(listener.answers.size(), 5u);
  AdvanceAndRun(milliseconds(299));
  EXPECT_EQ(listener.answers.size(), bound + 5);
  EXPECT_EQ(listener.last(), store_outcome::kRefused);
  EXPECT_EQ(store.calls(), calls);
}

TEST_F(storing, FailedProbeOpensForLonger) {
  OpenBreaker();
  AdvanceAndRun(milliseconds(500));
  Submit(store_operation::kCreate);
  RefuseAll();
  EXPECT_EQ(client.state(), breaker_state::kOpen);
  AdvanceAndRun(milliseconds(499));
  const std::uint64_t calls = store.calls();
  Submit(store_operation::kCreate);
  EXPECT_EQ(store.calls(), calls);
}

TEST_F(storing, HourOfOutageSendsFewProbesAndRecovers) {
  const std::uint64_t before = store.calls();
  constexpr int kSteps = 36000;
  for (int i = 0; i < kSteps; ++i) {
    Submit(store_operation::kUpdate);
    RefuseAll();
    AdvanceAndRun(milliseconds(100));
  }
  const std::uint64_t sent = store.calls() - before;
  std::printf("outage of an hour: %d calls submitted, %d sent\n", kSteps, static_cast<int>(sent));
  // At most one probe per half of the longest open time, and those while the open time still grew.
  EXPECT_LE(sent, 3600 / 7 + 20);
  AdvanceAndRun(seconds(15));
  Submit(store_operation::kGet);
  store.RunAll();
  EXPECT_EQ(client.state(), breaker_state::kClosed);
  EXPECT_GE(Count("store_breaker_milliseconds", MetricLabel("state", "open")), 3500000u);
}

TEST_F(storing, CallsOverTheBoundAreRefusedUnsent) {
  for (int i = 0; i < 65; ++i) Submit(store_operation::kCreate);
  EXPECT_EQ(store.calls(), 64u);
  EXPECT_EQ(Count("store_over_outstanding_bound"), 1u);
  client.Run(clock.Now());
  EXPECT_EQ(listener.last(), store_outcome::kRefused);
}

TEST_F(storing, EachCallGetsOneAnswerCountedByKindAndOutcome) {
  Submit(store_operation::kCreate);
  Submit(store_operation::kCreate);
  store.RunAll();
  EXPECT_EQ(listener.answers.size(), 2u);
  const std::string kind = MetricLabel("kind", "create") + ",";
  EXPECT_EQ(Count("store_calls", kind + MetricLabel("outcome", "done")), 1u);
  EXPECT_EQ(Count("store_calls", kind + MetricLabel("outcome", "conflict")), 1u);
}

}  // namespace
}  // namespace hawthorndrum
