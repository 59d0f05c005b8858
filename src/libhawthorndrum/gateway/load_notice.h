/// What a daemon tells the others of its work, in one datagram.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/units.h"
#include "gateway/crash_record.h"
#include "gateway/fleet_upstream.h"

namespace hawthorndrum {

struct noted_work {
  upstream_id upstream;
  upstream_work work;
  /** How long ago the sender heard from the upstream. */
  duration heard_ago{0};
};

/** Why others should use an upstream only when they must; the most pressing reason first. */
enum class avoidance_reason : std::uint8_t {
  /** The sender is about to change its stage. */
  kChanges,
  /** The host list says that it leaves, or has left. */
  kLeaves,
  /** The sender cannot connect to it. */
  kLost,
  /** It failed calls of the sender. */
  kFails,
};

struct noted_avoidance {
  upstream_id upstream;
  /** How much longer the sender keeps away from it. */
  duration avoid_for{0};
  avoidance_reason reason = avoidance_reason::kFails;
};

/** A daemon's notice that is part of a digest. */
struct covered_notice {
  incarnation_id sender;
  std::uint64_t sequence = 0;
};

/**
 * Says all of the sender's work, so that a lost or overtaken datagram does no harm. A digest says
 * the work of a whole data centre, the sender's included.
 */
struct load_notice {
  incarnation_id sender;
  /** Rises with each notice of a sender. */
  std::uint64_t sequence = 0;
  /** The sender's host. */
  std::string host;
  std::string data_centre;
  /** The newest configuration that the sender knows. */
  std::uint64_t config_version = 0;
  /** The store's revision at the last change of the host list that the sender knows. */
  std::uint64_t fleet_revision = 0;
  /** What a digest sums up; empty for a daemon's own notice. */
  std::vector<covered_notice> covers;

  bool is_digest() const { return !covers.empty(); }

  std::vector<noted_work> work;
  std::vector<noted_avoidance> avoided;
  std::vector<crash_report> crashes;
};

/** Encodes to CBOR; entries beyond what one datagram carries are left out, the least work first. */
std::vector<std::uint8_t> EncodeLoadNotice(const load_notice& notice);
/** kInvalid for anything that EncodeLoadNotice did not make. */
expected<load_notice> DecodeLoadNotice(boost::span<const std::uint8_t> bytes);

}  // namespace hawthorndrum
