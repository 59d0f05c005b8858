/// What a service file says, after it has been checked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

enum class service_kind { kModel, kPlain };

/** A model that a service needs, with the adapter if any. */
struct model_use {
  std::string name;
  std::string version;
  std::string adapter;

  friend bool operator==(const model_use& a, const model_use& b) {
    return a.name == b.name && a.version == b.version && a.adapter == b.adapter;
  }
};

/** Limits of one service in one daemon. */
struct service_limits {
  std::uint32_t concurrency = 256;
  double requests_per_second = 1000;
  std::uint32_t burst = 200;
  std::uint32_t queue_length = 256;
  std::uint32_t max_tokens = 4096;
};

/**
 * One service. `priority` runs from 0 (waits for all others) to 9 (a caller on the phone).
 */
struct service_config {
  std::string name;
  std::string team;
  service_kind kind = service_kind::kModel;
  model_use model;
  /** The pool of plain upstreams; belongs to kPlain. */
  std::string pool;
  bool repeatable = true;
  /** Whether a request that may not be repeated must carry an Idempotency-Key. */
  bool key_required = true;
  int priority = 5;
  duration useful_within = seconds(10);
  duration longest_deadline = seconds(60);
  service_limits limits;
  /** The path of a plain service that tells whether a key ran; empty when there is none. */
  std::string lookup_path;
  /** Whether requests may go to other data centres' upstreams. */
  bool spill = false;
};

}  // namespace hawthorndrum
