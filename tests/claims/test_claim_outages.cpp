/// Tests of claims while the store is out, and of what resends are told then.
#include <gtest/gtest.h>

#include <iostream>
#include <string>
#include <vector>

#include "claim_steps.h"

namespace hawthorndrum {
namespace {

TEST(Claims, StoreOutageRefusesAsNotRunAndLaterClaimsWork) {
  claim_fleet fleet(1);
  Grant(fleet, 0, {"pay", "warm-up"});
  const request_id refused = fleet.Claim(0, kPayment);
  for (int i = 0; i < 100 && !IsTold(fleet, refused); ++i) {
    fleet.TickAll();
    while (!fleet.store().waiting().empty()) fleet.store().FailAt(0, store_outcome::kRefused);
    fleet.Advance(milliseconds(25));
  }
  ASSERT_TRUE(IsTold(fleet, refused));
  EXPECT_EQ(Told(fleet, refused), claim_verdict::kNotRun);
  fleet.Advance(std::chrono::hours(1));
  // One probe goes first; while it is out, the others wait for it.
  fleet.Settle();
  Grant(fleet, 0);
}

/** Claims at one moment in an outage's last breaker time, over as many buckets; how many are
 * refused. */
int RefusedAtTheEndOfAnOutage(int claims) {
  claim_fleet fleet(1);
  Grant(fleet, 0, {"pay", "warm-up"});
  const request_id refused = fleet.Claim(0, kPayment);
  for (int i = 0; i < 100 && !IsTold(fleet, refused); ++i) {
    fleet.TickAll();
    while (!fleet.store().waiting().empty()) fleet.store().FailAt(0, store_outcome::kRefused);
    fleet.Advance(milliseconds(25));
  }
  fleet.Advance(std::chrono::hours(1));
  std::vector<request_id> requests;
  requests.reserve(static_cast<std::size_t>(claims));
  for (int i = 0; i < claims; ++i) {
    requests.push_back(fleet.Claim(0, {"pay", "after" + std::to_string(i)}));
  }
  fleet.Settle(100);
  int count = 0;
  for (const request_id request : requests) {
    count += Told(fleet, request) == claim_verdict::kGranted ? 0 : 1;
  }
  return count;
}

TEST(Claims, ClaimsAtTheOutagesEndWaitForTheProbe) {
  const int refused = RefusedAtTheEndOfAnOutage(100);
  std::cout << "refused of 100 claims at the outage's end: " << refused << "\n";
  EXPECT_EQ(refused, 0);
}

TEST(Claims, OutageAfterDoneStillGivesWhatIsKnownHere) {
  claim_fleet fleet(1);
  const request_id first = Grant(fleet, 0);
  fleet.Finish(0, first);
  const request_id again = fleet.Claim(0, kPayment);
  for (int i = 0; i < 200 && !IsTold(fleet, again); ++i) {
    fleet.TickAll();
    while (!fleet.store().waiting().empty()) fleet.store().FailAt(0, store_outcome::kRefused);
    fleet.Advance(milliseconds(25));
  }
  ASSERT_TRUE(IsTold(fleet, again));
  EXPECT_NE(Told(fleet, again), claim_verdict::kNotRun);
  EXPECT_EQ(fleet.Broken(), "");
}

/** The store refuses every call until the request is told; everything else works. */
void RunInOutage(claim_fleet& fleet, request_id request) {
  for (int i = 0; i < 600 && !IsTold(fleet, request); ++i) {
    fleet.TickAll();
    while (!fleet.store().waiting().empty()) fleet.store().FailAt(0, store_outcome::kRefused);
    fleet.DeliverAll();
    fleet.Advance(milliseconds(25));
  }
  ASSERT_TRUE(IsTold(fleet, request));
}

TEST(Claims, NotRunInAnOutageDoesNotSpeakForEarlierRequests) {
  claim_fleet fleet(2);
  Grant(fleet, 0);
  fleet.Kill(0);
  fleet.Kill(1);
  const request_id again = fleet.Claim(1, kPayment);
  RunInOutage(fleet, again);
  EXPECT_EQ(Told(fleet, again), claim_verdict::kNotRun);
  EXPECT_EQ(fleet.ledger().told.at(again).earlier, earlier_requests::kUnknown);
}

TEST(Claims, ResendInAnOutageGetsTheFateOfAnAttemptThatTheOwnerRuns) {
  // Without copies of buckets, only its own rows tell a daemon of the attempt.
  claim_options options;
  options.cache_bytes = 0;
  int asked = 0;
  for (int maker = 0; maker < 2; ++maker) {
    claim_fleet fleet(2, options);
    Grant(fleet, 0, {"pay", "warm-up"});
    Grant(fleet, 1, {"pay", "warm-up too"});
    const request_id first = Grant(fleet, maker);
    const request_id again = fleet.Claim(1 - maker, kPayment, 1, seconds(5));
    // Only where the maker owns the bucket does the other daemon hear of it.
    bool asks_maker = false;
    for (const claim_attempt& row : fleet.at(1 - maker).claims->attempts()) {
      if (row.wish.request == again) asks_maker = row.forwarded_to == queued_peers::IdOf(maker);
    }
    asked += asks_maker ? 1 : 0;
    RunInOutage(fleet, again);
    if (asks_maker) {
      EXPECT_EQ(Told(fleet, again), claim_verdict::kUnknown);
    }
    fleet.Finish(maker, first);
    const request_id third = fleet.Claim(1 - maker, kPayment, 1, seconds(5));
    RunInOutage(fleet, third);
    if (asks_maker) {
      EXPECT_EQ(Told(fleet, third), claim_verdict::kAnswered);
    }
    EXPECT_EQ(fleet.Broken(), "");
  }
  EXPECT_EQ(asked, 1);
}

TEST(Claims, ResendOverTheBoundIsToldOfTheAttemptThatRunsHere) {
  claim_options options;
  options.most_attempts = 1;
  claim_fleet fleet(1, options);
  Grant(fleet, 0);
  const request_id again = fleet.Claim(0, kPayment);
  const request_id other = fleet.Claim(0, {"pay", "k2"});
  fleet.Settle();
  EXPECT_EQ(Told(fleet, again), claim_verdict::kUnknown);
  EXPECT_EQ(Told(fleet, other), claim_verdict::kNotRun);
}

TEST(Claims, AForgottenResendIsToldOfTheAttemptItWaitsFor) {
  claim_fleet fleet(2);
  Grant(fleet, 0);
  const request_id again = fleet.Claim(1, kPayment);
  const request_id other_body = fleet.Claim(1, kPayment, 2);
  const request_id fresh = fleet.Claim(1, {"pay", "k2"});
  fleet.Settle(20);
  EXPECT_EQ(fleet.at(1).claims->Forget(again).verdict, claim_verdict::kUnknown);
  EXPECT_EQ(Told(fleet, other_body), claim_verdict::kMismatch);
  EXPECT_EQ(fleet.ledger().told.at(fresh).earlier, earlier_requests::kNone);
  EXPECT_EQ(fleet.Broken(), "");
}

}  // namespace
}  // namespace hawthorndrum
