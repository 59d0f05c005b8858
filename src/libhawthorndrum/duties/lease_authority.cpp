/// Derives the terms of calls from a lease.
#include "duties/lease_authority.h"

#include <algorithm>

#include "systems/lease_system.h"

namespace hawthorndrum {

namespace {

constexpr lease_term kFirstTerm(1);

}  // namespace

void lease_authority::Run(time_point now) {
  const lease_term held = lease_.Holds() ? lease_.term() : lease_term();
  if (held == term_) return;
  term_ = held;
  since_ = now;
}

std::optional<duty_terms> lease_authority::TermsFor(time_point now) const {
  if (!term_ || !lease_.Holds() || lease_.term() != term_) return std::nullopt;
  // The first holder has no predecessor.
  if (term_ != kFirstTerm && now - since_ < kTakeoverPause) return std::nullopt;
  return duty_terms{term_, std::min(lease_.valid_until(), now + kSendWithin)};
}

}  // namespace hawthorndrum
