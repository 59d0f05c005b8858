/// Tests of claims: normal operation, and one fault at a time.
#include <gtest/gtest.h>

#include "claim_steps.h"

namespace hawthorndrum {
namespace {

class claiming : public testing::TestWithParam<bool> {
 protected:
  static claim_options Options() {
    claim_options options;
    options.forward = GetParam();
    return options;
  }
};

INSTANTIATE_TEST_SUITE_P(Claims, claiming, testing::Values(true, false),
                         [](const auto& param) { return param.param ? "Forwarded" : "Direct"; });

TEST_P(claiming, DoneKeyGivesItsStoredAnswerEverywhere) {
  claim_fleet fleet(3, Options());
  const request_id first = Grant(fleet, 0);
  fleet.Finish(0, first);
  fleet.Settle();
  for (int daemon = 0; daemon < 3; ++daemon) {
    const request_id again = fleet.Claim(daemon, kPayment);
    fleet.Settle();
    ASSERT_EQ(VerdictOf(fleet, again), claim_verdict::kAnswered);
    EXPECT_EQ(fleet.ledger().decisions.at(again).answer.body,
              claim_fleet::AnswerOf(kPayment, first));
  }
  EXPECT_EQ(fleet.Violations(), "");
  EXPECT_TRUE(fleet.at(0).claims->attempts().empty());
}

TEST_P(claiming, SameMomentAtThreeDaemonsRunsOnce) {
  claim_fleet fleet(3, Options());
  std::vector<request_id> requests;
  requests.reserve(3);
  for (int daemon = 0; daemon < 3; ++daemon) requests.push_back(fleet.Claim(daemon, kPayment));
  fleet.Settle(8);
  int granted = 0;
  for (int daemon = 0; daemon < 3; ++daemon) {
    for (const request_id request : fleet.at(daemon).granted) {
      fleet.Finish(daemon, request);
      granted += 1;
    }
  }
  EXPECT_EQ(granted, 1);
  fleet.Settle();
  for (const request_id request : requests) ASSERT_TRUE(IsDecided(fleet, request));
  EXPECT_EQ(fleet.Violations(), "");
}

TEST_P(claiming, OtherBodyIsAMismatchAndOtherServiceIsApart) {
  claim_fleet fleet(2, Options());
  fleet.Finish(0, Grant(fleet, 0));
  fleet.Settle();
  const request_id other_body = fleet.Claim(1, kPayment, 2);
  const request_id other_service = fleet.Claim(1, {"book", "k1"});
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, other_body), claim_verdict::kMismatch);
  EXPECT_EQ(VerdictOf(fleet, other_service), claim_verdict::kGranted);
}

TEST_P(claiming, NotRunFreesTheKey) {
  claim_fleet fleet(2, Options());
  const request_id first = Grant(fleet, 0);
  fleet.at(0).claims->ReportNotRun(first);
  const request_id second = fleet.Claim(1, kPayment);
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, second), claim_verdict::kGranted);
}

TEST_P(claiming, UnknownStaysClosed) {
  claim_fleet fleet(2, Options());
  const request_id first = Grant(fleet, 0);
  fleet.at(0).claims->ReportUnknown(first);
  for (int daemon = 0; daemon < 2; ++daemon) {
    const request_id again = fleet.Claim(daemon, kPayment);
    fleet.Settle();
    EXPECT_EQ(VerdictOf(fleet, again), claim_verdict::kUnknown);
  }
}

TEST_P(claiming, ResendWaitsForTheOpenAttemptAndGetsItsAnswer) {
  claim_fleet fleet(2, Options());
  const request_id first = Grant(fleet, 0);
  const request_id second = fleet.Claim(1, kPayment);
  fleet.Settle(20);
  EXPECT_FALSE(IsDecided(fleet, second));
  fleet.Finish(0, first);
  fleet.Settle();
  ASSERT_TRUE(IsDecided(fleet, second));
  EXPECT_EQ(VerdictOf(fleet, second), claim_verdict::kAnswered);
  EXPECT_EQ(fleet.Violations(), "");
}

TEST_P(claiming, ResendThatMeetsAnOpenAttemptPastItsDeadlineIsUnknown) {
  claim_fleet fleet(2, Options());
  Grant(fleet, 0);
  const request_id second = fleet.Claim(1, kPayment, 1, seconds(1));
  fleet.Settle(60);
  EXPECT_EQ(VerdictOf(fleet, second), claim_verdict::kUnknown);
}

TEST_P(claiming, ClaimOfADeadDaemonStaysClosed) {
  claim_fleet fleet(2, Options());
  Grant(fleet, 0);
  fleet.Kill(0);
  const request_id second = fleet.Claim(1, kPayment);
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, second), claim_verdict::kUnknown);
}

TEST(Claims, LostAnswerToTheWriteIsSettledByReadingBack) {
  claim_fleet fleet(1);
  Grant(fleet, 0, {"pay", "warm-up"});
  const request_id request = fleet.Claim(0, {"pay", "k2"});
  for (int i = 0; i < 200 && !IsDecided(fleet, request); ++i) {
    fleet.TickAll();
    const auto& waiting = fleet.store().waiting();
    const bool write = !waiting.empty() && waiting[0].call.operation != store_operation::kGet;
    if (write && fleet.store().writes() < 5) fleet.store().RunAtLosingAnswer(0);
    fleet.store().RunAll();
    fleet.Advance(milliseconds(10));
  }
  EXPECT_EQ(VerdictOf(fleet, request), claim_verdict::kGranted);
}

/** Lets the claim's write time out, and returns it so that the test can apply it later. */
store_call TimeOutWrite(claim_fleet& fleet, int daemon, request_id request) {
  store_call late;
  for (int i = 0; i < 400 && !IsDecided(fleet, request); ++i) {
    fleet.TickAll();
    auto& waiting = fleet.store().waiting();
    if (!waiting.empty() && waiting[0].call.operation != store_operation::kGet) {
      late = waiting[0].call;
      fleet.store().DropClient(daemon, false);
    } else if (!late.key.empty()) {
      fleet.store().DropClient(daemon, false);
    } else {
      fleet.store().RunAll();
    }
    fleet.Advance(milliseconds(25));
  }
  return late;
}

TEST(Claims, WriteThatLandsAfterNotRunNeitherRunsNorClosesTheKey) {
  claim_options options;
  options.forward = false;
  claim_fleet fleet(2, options);
  Grant(fleet, 0, {"pay", "warm-up"});
  const request_id first = fleet.Claim(0, kPayment);
  const store_call late = TimeOutWrite(fleet, 0, first);
  ASSERT_EQ(VerdictOf(fleet, first), claim_verdict::kNotRun);
  ASSERT_FALSE(late.key.empty());
  fleet.store().Apply(late);
  ASSERT_NE(fleet.Stored(kPayment), nullptr);
  const request_id second = fleet.Claim(1, kPayment);
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, second), claim_verdict::kGranted);
  EXPECT_EQ(fleet.at(0).granted.size(), 1u);
}

TEST(Claims, ClaimantCleansItsLateRecordWithoutBeingAsked) {
  claim_options options;
  options.forward = false;
  claim_fleet fleet(1, options);
  Grant(fleet, 0, {"pay", "warm-up"});
  const request_id first = fleet.Claim(0, kPayment);
  const store_call late = TimeOutWrite(fleet, 0, first);
  ASSERT_EQ(VerdictOf(fleet, first), claim_verdict::kNotRun);
  fleet.store().Apply(late);
  fleet.Settle(400);
  ASSERT_NE(fleet.Stored(kPayment), nullptr);
  EXPECT_EQ(fleet.Stored(kPayment)->state, claim_state::kNotRun);
  EXPECT_EQ(fleet.at(0).claims->attempts().size(), 1u);
}

TEST(Claims, GivenUpWriteCanNoLongerLandOnceItsRowIsGone) {
  claim_options options;
  options.forward = false;
  claim_fleet fleet(1, options);
  Grant(fleet, 0, {"pay", "warm-up"});
  const request_id first = fleet.Claim(0, kPayment);
  const store_call late = TimeOutWrite(fleet, 0, first);
  ASSERT_EQ(VerdictOf(fleet, first), claim_verdict::kNotRun);
  fleet.Settle(400);
  ASSERT_EQ(fleet.at(0).claims->attempts().size(), 1u);
  EXPECT_NE(fleet.store().Apply(late).outcome, store_outcome::kDone);
  EXPECT_EQ(fleet.Stored(kPayment), nullptr);
}

TEST(Claims, LookupSettlesADeadDaemonsClaimThatRan) {
  claim_fleet fleet(2);
  const request_id first = Grant(fleet, 0);
  fleet.Run(first);
  fleet.Kill(0);
  const request_id second = fleet.Claim(1, kPayment, 1, seconds(10), true);
  fleet.Settle();
  ASSERT_EQ(VerdictOf(fleet, second), claim_verdict::kAnswered);
  EXPECT_EQ(fleet.Stored(kPayment)->state, claim_state::kDone);
  EXPECT_EQ(fleet.Violations(), "");
}

TEST(Claims, LookupsNotRunCountsOnlyAfterTheQuarantine) {
  claim_fleet fleet(2);
  const request_id first = Grant(fleet, 0);
  fleet.at(0).claims->ReportUnknown(first);
  fleet.Settle();
  const request_id early = fleet.Claim(1, kPayment, 1, seconds(10), true);
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, early), claim_verdict::kUnknown);
  fleet.Advance(claim_options().lookup_quarantine);
  const request_id late = fleet.Claim(1, kPayment, 1, seconds(10), true);
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, late), claim_verdict::kGranted);
}

TEST(Claims, LookupsNotRunNeverFreesAClaimWhoseClaimantMayBePaused) {
  claim_fleet fleet(2);
  const request_id first = Grant(fleet, 0);
  fleet.Pause(0);
  fleet.at(1).peers.peers.clear();
  for (int i = 0; i < 3; ++i) {
    const request_id again = fleet.Claim(1, kPayment, 1, seconds(10), true);
    fleet.Settle(500);
    EXPECT_EQ(VerdictOf(fleet, again), claim_verdict::kUnknown);
    fleet.Advance(2 * claim_options().lookup_quarantine);
  }
  fleet.Resume(0);
  fleet.Finish(0, first);
  fleet.Settle();
  EXPECT_EQ(fleet.Violations(), "");
}

TEST(Claims, PausedDaemonDoesNotGrantAfterTheDeadline) {
  claim_options options;
  options.layout.buckets = 1;
  claim_fleet fleet(1, options);
  Grant(fleet, 0, {"pay", "warm-up"});
  const request_id request = fleet.Claim(0, kPayment, 1, seconds(1));
  fleet.TickAll();
  fleet.Pause(0);
  fleet.store().RunAll();
  ASSERT_NE(fleet.Stored(kPayment), nullptr);
  fleet.Advance(seconds(2));
  fleet.Resume(0);
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, request), claim_verdict::kNotRun);
  EXPECT_EQ(fleet.ledger().decisions.at(request).earlier, earlier_requests::kNone);
  EXPECT_EQ(fleet.Stored(kPayment)->state, claim_state::kNotRun);
}

TEST(Claims, TooLargeAnswerIsKeptAsStatusZero) {
  claim_fleet fleet(1);
  const request_id first = Grant(fleet, 0);
  fleet.Run(first);
  fleet.at(0).claims->ReportDone(first, {200, {}, std::string(100000, 'x')});
  fleet.Settle();
  const request_id again = fleet.Claim(0, kPayment);
  fleet.Settle();
  ASSERT_EQ(VerdictOf(fleet, again), claim_verdict::kAnswered);
  EXPECT_EQ(fleet.ledger().decisions.at(again).answer.status, 0);
}

TEST(Claims, ArchivedKeysKeepTheirAnswersForEveryDaemon) {
  claim_options options;
  options.layout = {1, 4};
  options.commit.archive_above = 1000;
  claim_fleet fleet(2, options);
  constexpr int kKeys = 60;
  std::vector<request_id> first;
  for (int i = 0; i < kKeys; ++i) {
    first.push_back(Grant(fleet, 0, {"pay", "k" + std::to_string(i)}));
    fleet.Finish(0, first.back());
    fleet.Settle(8);
  }
  fleet.Settle();
  EXPECT_LE(fleet.store().objects().at(BucketKey(0)).value.size(), 1200u);
  fleet.Kill(1);
  for (int i = 0; i < kKeys; ++i) {
    const claim_name name{"pay", "k" + std::to_string(i)};
    const request_id again = fleet.Claim(i % 2, name);
    const request_id other_body = fleet.Claim(i % 2, name, 2);
    fleet.Settle(8);
    ASSERT_EQ(VerdictOf(fleet, again), claim_verdict::kAnswered);
    EXPECT_EQ(fleet.ledger().decisions.at(again).answer.body,
              claim_fleet::AnswerOf(name, first[static_cast<std::size_t>(i)]));
    EXPECT_EQ(VerdictOf(fleet, other_body), claim_verdict::kMismatch);
  }
  EXPECT_EQ(fleet.Violations(), "");
}

TEST(Claims, ExpiryRemovesOldAnswersAndNeverOpenClaims) {
  claim_options options;
  options.layout = {1, 1};
  options.commit.bucket.done_epochs = 2;
  claim_fleet fleet(2, options);
  Grant(fleet, 0, {"pay", "open"});
  const request_id unknown = Grant(fleet, 0, {"pay", "unknown"});
  fleet.at(0).claims->ReportUnknown(unknown);
  fleet.Finish(0, Grant(fleet, 0));
  fleet.Settle();
  const duration epoch = options.commit.epoch_length;
  // Records are kept for two whole epochs; an epoch's begin must be observed before its end.
  for (int i = 0; i < 4; ++i) {
    EXPECT_NE(fleet.Stored(kPayment), nullptr) << i;
    fleet.Settle(20, epoch / 20);
  }
  fleet.Settle(200, epoch / 20);
  EXPECT_EQ(fleet.Stored(kPayment), nullptr);
  ASSERT_NE(fleet.Stored({"pay", "open"}), nullptr);
  EXPECT_EQ(fleet.Stored({"pay", "open"})->state, claim_state::kClaimed);
  ASSERT_NE(fleet.Stored({"pay", "unknown"}), nullptr);
}

TEST(Claims, RestartedDaemonsDoNotHurryExpiry) {
  claim_options options;
  options.layout = {1, 1};
  options.commit.bucket.done_epochs = 0;
  claim_fleet fleet(1, options);
  fleet.Finish(0, Grant(fleet, 0));
  fleet.Settle();
  // Each incarnation observes only a part of an epoch, so none may end it.
  for (int i = 0; i < 20; ++i) {
    fleet.Kill(0);
    fleet.Settle(9, options.commit.epoch_length / 10);
    ASSERT_NE(fleet.Stored(kPayment), nullptr) << i;
  }
}

TEST(Claims, VanishedBucketRefusesRatherThanFreeingKeys) {
  claim_options options;
  options.layout = {1, 1};
  claim_fleet fleet(1, options);
  fleet.Finish(0, Grant(fleet, 0));
  fleet.Settle();
  store_call removal;
  removal.operation = store_operation::kRemove;
  removal.key = BucketKey(0);
  removal.expected = fleet.store().objects().at(removal.key).version;
  fleet.store().Apply(removal);
  const request_id again = fleet.Claim(0, {"pay", "new"});
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, again), claim_verdict::kNotRun);
  EXPECT_GT(fleet.at(0).metrics.Counter("claim_buckets_vanished").value(), 0u);
}

TEST(Claims, DaemonsWithOtherBucketCountsUseTheStoredOne) {
  claim_fleet fleet(1);
  Grant(fleet, 0, {"pay", "warm-up"});
  claim_options other;
  other.layout.buckets = 7;
  fake_store_client raw(fleet.store(), 5);
  fleet_daemon& d = fleet.at(0);
  auto late = claim_system_builder(raw, d.peers, d.clock, d.random, d.metrics)
                  .Incarnation(incarnation_id(99))
                  .Options(other)
                  .Build();
  late->Run(d.clock.Now());
  fleet.store().RunAll();
  EXPECT_EQ(late->committer().buckets(), claim_options().layout.buckets);
}

}  // namespace
}  // namespace hawthorndrum
