/// Steps that the tests of claims share.
#pragma once

#include <gtest/gtest.h>

#include "claim_fleet.h"

namespace hawthorndrum {

inline const claim_name kPayment{"pay", "k1"};

inline claim_verdict Told(claim_fleet& fleet, request_id request) {
  return fleet.ledger().told.at(request).verdict;
}

inline bool IsTold(claim_fleet& fleet, request_id request) {
  return fleet.ledger().told.count(request) > 0;
}

/** Gets one claim granted at the daemon. */
inline request_id Grant(claim_fleet& fleet, int daemon, const claim_name& name = kPayment) {
  const request_id request = fleet.Claim(daemon, name);
  fleet.Settle(8);
  EXPECT_TRUE(IsTold(fleet, request));
  EXPECT_EQ(Told(fleet, request), claim_verdict::kGranted);
  return request;
}

}  // namespace hawthorndrum
