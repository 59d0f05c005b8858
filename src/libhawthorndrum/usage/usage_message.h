/// What daemons tell each other about usage, each message in one datagram.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"

namespace hawthorndrum {

/** How many requests of each team began at one daemon in one window. */
struct usage_counts_message {
  /** The daemon's process that counted. */
  incarnation_id counter;
  /** True time by the sender's own clock, in milliseconds since 1970. */
  std::uint64_t clock_ms = 0;
  std::uint64_t window = 0;
  /** The window in which the process began to count. */
  std::uint64_t began = 0;
  /** Whether the window has ended; `total` is then its number of requests. */
  bool closed = false;
  /** Whether the counts are those of another daemon, which the sender kept for it. */
  bool forwarded = false;
  std::uint64_t total = 0;
  /** Some or all of the teams; a count never decreases. */
  std::map<std::string, std::uint64_t> counts;
  /** The first window whose report is not fixed, as far as the sender knows; 0 if it does not. */
  std::uint64_t next = 0;
};

/** What the daemon that reports usage has. */
struct usage_heard_message {
  /** Of the lease under which it reports. */
  lease_term term;
  /** True time, in milliseconds since 1970; 0 while it does not know. */
  std::uint64_t clock_ms = 0;
  /** The first window whose report is not fixed yet; 0 while it does not know. */
  std::uint64_t next = 0;
  /** The number of requests that it has from the addressed daemon, in a window. */
  std::uint64_t window = 0;
  std::uint64_t total = 0;
};

/** Splits the message so that each datagram fits into a packet. */
std::vector<std::vector<std::uint8_t>> EncodeUsageCounts(const usage_counts_message& message);
expected<usage_counts_message> DecodeUsageCounts(boost::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> EncodeUsageHeard(const usage_heard_message& message);
expected<usage_heard_message> DecodeUsageHeard(boost::span<const std::uint8_t> bytes);

}  // namespace hawthorndrum
