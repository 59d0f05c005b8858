/// Tells the lease whether this daemon reaches upstreams.
#include "gateway/order_eligibility.h"

#include "gateway/gateway.h"
#include "systems/lease_system.h"

namespace hawthorndrum {

order_eligibility::order_eligibility(const gateway& served, lease_system& lease)
    : gateway_(served), lease_(lease) {}

void order_eligibility::Run(time_point now) {
  if (!gateway_.is_cut_off()) {
    cut_off_since_.reset();
  } else if (!cut_off_since_) {
    cut_off_since_ = now;
  }
  lease_.SetEligible(!cut_off_since_ || now - *cut_off_since_ < kToleratedCut);
}

}  // namespace hawthorndrum
