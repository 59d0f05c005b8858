/// The load report that daemons send each other in one datagram.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/units.h"
#include "gateway/demand_meter.h"
#include "gateway/fleet_upstream.h"

namespace hawthorndrum {

struct reported_work {
  upstream_id upstream;
  upstream_work work;
  /** Time since the upstream last sent a byte, as far as the sender knows. */
  duration since_last_answer{0};
};

/** Why other daemons should avoid an upstream if they can; the most urgent reason first. */
enum class avoidance_reason : std::uint8_t {
  /** The sender is changing its stage. */
  kChangingStage,
  /** It is leaving, or has left, as the host list or the upstream itself says. */
  kLeaving,
  /** The sender cannot connect to it. */
  kLost,
  /** It failed calls of the sender. */
  kFailing,
  /** It asked the sender, which it does not serve for now, for time. */
  kWantsTime,
};

struct reported_avoidance {
  upstream_id upstream;
  /** How much longer the sender avoids it. */
  duration avoid_for{0};
  avoidance_reason reason = avoidance_reason::kFailing;
};

/** What an upstream said about the requests that it takes from all daemons together. */
struct reported_limit {
  upstream_id upstream;
  /** Not set if it has no limit any more. */
  std::optional<double> per_second;
  /** Time since it said so. */
  duration age{0};
};

/** Identifies a notice that is included in a digest. */
struct covered_notice {
  incarnation_id sender;
  std::uint64_t sequence = 0;
};

/**
 * Contains the sender's complete state, so that a datagram that is lost or out of order does no
 * harm. A digest contains the work of a whole data centre, the sender's included.
 */
struct load_notice {
  incarnation_id sender;
  /** Increases with each notice of a sender. */
  std::uint64_t sequence = 0;
  /** The sender's host. */
  std::string host;
  std::string data_centre;
  /** The latest configuration that the sender knows. */
  std::uint64_t config_version = 0;
  /** The store's revision at the last change of the host list that the sender knows. */
  std::uint64_t fleet_revision = 0;
  /** The notices that a digest sums up; empty for a daemon's own notice. */
  std::vector<covered_notice> covers;

  bool is_digest() const { return !covers.empty(); }

  std::vector<reported_work> work;
  std::vector<reported_avoidance> avoided;
  std::vector<reported_limit> limits;
  std::vector<reported_demand> demand;
};

/**
 * Encodes to CBOR. Entries that exceed the limits of one datagram are dropped: the smallest amounts
 * of work, the least urgent avoidances, the oldest limits, and the last of the covered notices.
 */
std::vector<std::uint8_t> EncodeLoadNotice(const load_notice& notice);
/** Returns kInvalid unless the bytes are a well-formed notice of the current format version. */
expected<load_notice> DecodeLoadNotice(boost::span<const std::uint8_t> bytes);

}  // namespace hawthorndrum
