/// The checked contents of a service file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

enum class service_kind { kModel, kPlain };

/** The model that a service uses, with an optional adapter. */
struct model_use {
  std::string name;
  std::string version;
  std::string adapter;

  friend bool operator==(const model_use& a, const model_use& b) {
    return a.name == b.name && a.version == b.version && a.adapter == b.adapter;
  }
};

/** Limits for one service in one daemon. */
struct service_limits {
  std::uint32_t concurrency = 256;
  double requests_per_second = 1000;
  std::uint32_t burst = 200;
  std::uint32_t queue_length = 256;
  std::uint32_t max_tokens = 4096;
};

/**
 * One service. `priority` ranges from 0 (yields to all others) to 9 (a person waits for the
 * answer).
 */
struct service_config {
  std::string name;
  std::string team;
  service_kind kind = service_kind::kModel;
  model_use model;
  /** The pool of plain upstreams; only for kPlain. */
  std::string pool;
  bool repeatable = true;
  /** Whether requests of a service that is not repeatable must carry an Idempotency-Key. */
  bool key_required = true;
  int priority = 5;
  duration useful_within = seconds(10);
  duration longest_deadline = seconds(60);
  service_limits limits;
  /** The plain service's path for looking up whether a key ran; empty when there is none. */
  std::string lookup_path;
  /** Whether requests may spill to upstreams of other data centres. */
  bool spill = false;
};

}  // namespace hawthorndrum
