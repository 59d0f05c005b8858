/// Builds a claim system.
#pragma once

#include <memory>

#include "systems/claim_system.h"

namespace hawthorndrum {

/**
 * Collects what a claim system needs. Everything referred to must outlive it.
 */
class claim_system_builder {
 public:
  claim_system_builder(object_store& store, peer_port& peers, const clock& time,
                       random_source& random, metrics_registry& metrics)
      : ports_{store, peers, time, random, metrics} {}

  claim_system_builder& Incarnation(incarnation_id incarnation) {
    incarnation_ = incarnation;
    return *this;
  }
  claim_system_builder& Options(const claim_options& options) {
    options_ = options;
    return *this;
  }
  /** Without a lookup, only an operator can settle a claim whose outcome is unknown. */
  claim_system_builder& Lookup(lookup_port& lookup) {
    ports_.lookup = &lookup;
    return *this;
  }

  std::unique_ptr<claim_system> Build() const {
    return std::make_unique<claim_system>(ports_, incarnation_, options_);
  }

 private:
  claim_ports ports_;
  incarnation_id incarnation_;
  claim_options options_;
};

}  // namespace hawthorndrum
