/// Steps shared by the tests of claims.
#pragma once

#include <gtest/gtest.h>

#include "claim_fleet.h"

namespace hawthorndrum {

inline const claim_name kPayment{"pay", "k1"};

inline claim_verdict VerdictOf(claim_fleet& fleet, request_id request) {
  return fleet.ledger().decisions.at(request).verdict;
}

inline bool IsDecided(claim_fleet& fleet, request_id request) {
  return fleet.ledger().decisions.count(request) > 0;
}

/** Claims the name at the daemon and expects the grant. */
inline request_id Grant(claim_fleet& fleet, int daemon, const claim_name& name = kPayment) {
  const request_id request = fleet.Claim(daemon, name);
  fleet.Settle(8);
  EXPECT_TRUE(IsDecided(fleet, request));
  EXPECT_EQ(VerdictOf(fleet, request), claim_verdict::kGranted);
  return request;
}

}  // namespace hawthorndrum
