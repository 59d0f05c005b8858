/// Tests of claims during store outages, and of the decisions that resent requests get then.
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
  for (int i = 0; i < 100 && !IsDecided(fleet, refused); ++i) {
    fleet.TickAll();
    while (!fleet.store().waiting().empty()) fleet.store().FailAt(0, store_outcome::kRefused);
    fleet.Advance(milliseconds(25));
  }
  ASSERT_TRUE(IsDecided(fleet, refused));
  EXPECT_EQ(VerdictOf(fleet, refused), claim_verdict::kNotRun);
  fleet.Advance(std::chrono::hours(1));
  // The breaker sends one probe; the other calls wait for its result.
  fleet.Settle();
  Grant(fleet, 0);
}

/**
 * Submits claims for different keys, and so for many buckets, at the same moment, when the store is
 * back but the breaker has not probed it yet; returns how many are refused.
 */
int RefusedAtTheEndOfAnOutage(int claims) {
  claim_fleet fleet(1);
  Grant(fleet, 0, {"pay", "warm-up"});
  const request_id refused = fleet.Claim(0, kPayment);
  for (int i = 0; i < 100 && !IsDecided(fleet, refused); ++i) {
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
    count += VerdictOf(fleet, request) == claim_verdict::kGranted ? 0 : 1;
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
  for (int i = 0; i < 200 && !IsDecided(fleet, again); ++i) {
    fleet.TickAll();
    while (!fleet.store().waiting().empty()) fleet.store().FailAt(0, store_outcome::kRefused);
    fleet.Advance(milliseconds(25));
  }
  ASSERT_TRUE(IsDecided(fleet, again));
  EXPECT_NE(VerdictOf(fleet, again), claim_verdict::kNotRun);
  EXPECT_EQ(fleet.Violations(), "");
}

/** Runs the fleet while the store refuses every call, until the request has its decision. */
void RunInOutage(claim_fleet& fleet, request_id request) {
  for (int i = 0; i < 600 && !IsDecided(fleet, request); ++i) {
    fleet.TickAll();
    while (!fleet.store().waiting().empty()) fleet.store().FailAt(0, store_outcome::kRefused);
    fleet.DeliverAll();
    fleet.Advance(milliseconds(25));
  }
  ASSERT_TRUE(IsDecided(fleet, request));
}

TEST(Claims, NotRunInAnOutageDoesNotSpeakForEarlierRequests) {
  claim_fleet fleet(2);
  Grant(fleet, 0);
  fleet.Kill(0);
  fleet.Kill(1);
  const request_id again = fleet.Claim(1, kPayment);
  RunInOutage(fleet, again);
  EXPECT_EQ(VerdictOf(fleet, again), claim_verdict::kNotRun);
  EXPECT_EQ(fleet.ledger().decisions.at(again).earlier, earlier_requests::kUnknown);
}

TEST(Claims, ResendInAnOutageGetsTheFateOfAnAttemptThatTheOwnerRuns) {
  // Without cached buckets, a daemon knows of the attempt only from its own rows.
  claim_options options;
  options.cache_bytes = 0;
  int owned_by_claimant = 0;
  for (int claimant = 0; claimant < 2; ++claimant) {
    claim_fleet fleet(2, options);
    Grant(fleet, 0, {"pay", "warm-up"});
    Grant(fleet, 1, {"pay", "warm-up too"});
    const request_id first = Grant(fleet, claimant);
    const request_id again = fleet.Claim(1 - claimant, kPayment, 1, seconds(5));
    // The other daemon learns of the attempt only if the claimant owns the bucket.
    bool asks_claimant = false;
    for (const claim_attempt& row : fleet.at(1 - claimant).claims->attempts()) {
      if (row.claim.request == again)
        asks_claimant = row.forwarded_to == queued_peers::IdOf(claimant);
    }
    owned_by_claimant += asks_claimant ? 1 : 0;
    RunInOutage(fleet, again);
    if (asks_claimant) {
      EXPECT_EQ(VerdictOf(fleet, again), claim_verdict::kUnknown);
    }
    fleet.Finish(claimant, first);
    const request_id third = fleet.Claim(1 - claimant, kPayment, 1, seconds(5));
    RunInOutage(fleet, third);
    if (asks_claimant) {
      EXPECT_EQ(VerdictOf(fleet, third), claim_verdict::kAnswered);
    }
    EXPECT_EQ(fleet.Violations(), "");
  }
  EXPECT_EQ(owned_by_claimant, 1);
}

TEST(Claims, ResendOverTheBoundIsToldOfTheAttemptThatRunsHere) {
  claim_options options;
  options.max_attempts = 1;
  claim_fleet fleet(1, options);
  Grant(fleet, 0);
  const request_id again = fleet.Claim(0, kPayment);
  const request_id other = fleet.Claim(0, {"pay", "k2"});
  fleet.Settle();
  EXPECT_EQ(VerdictOf(fleet, again), claim_verdict::kUnknown);
  EXPECT_EQ(VerdictOf(fleet, other), claim_verdict::kNotRun);
}

TEST(Claims, AForgottenResendIsToldOfTheAttemptItWaitsFor) {
  claim_fleet fleet(2);
  Grant(fleet, 0);
  const request_id again = fleet.Claim(1, kPayment);
  const request_id other_body = fleet.Claim(1, kPayment, 2);
  const request_id fresh = fleet.Claim(1, {"pay", "k2"});
  fleet.Settle(20);
  EXPECT_EQ(fleet.at(1).claims->Forget(again).verdict, claim_verdict::kUnknown);
  EXPECT_EQ(VerdictOf(fleet, other_body), claim_verdict::kMismatch);
  EXPECT_EQ(fleet.ledger().decisions.at(fresh).earlier, earlier_requests::kNone);
  EXPECT_EQ(fleet.Violations(), "");
}

}  // namespace
}  // namespace hawthorndrum
