/// The platform's API for calls that are the duty of one daemon at a time.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"
#include "duties/duty_terms.h"

namespace hawthorndrum {

class duty_listener;

/** How many requests of each team began to run in one window of true time. */
struct usage_report {
  /** The window's number; window k begins k lengths after the start of 1970. */
  std::uint64_t window = 0;
  std::map<std::string, std::uint64_t> counts;
};

/** The number of upstreams of a service that a data centre should have, of one kind. */
struct upstream_order {
  std::string service;
  std::string data_centre;
  std::uint32_t count = 0;
  /** Whether it is for upstreams that the platform may reclaim. */
  bool reclaimable = false;
};

/**
 * Each call ends with exactly one answer to its listener, in a later tick.
 */
class duty_port {
 public:
  virtual ~duty_port() = default;

  virtual void ReportUsage(duty_call_id call, const usage_report& report, const duty_terms& terms,
                           duty_listener& listener) = 0;
  virtual void OrderUpstreams(duty_call_id call, const upstream_order& order,
                              const duty_terms& terms, duty_listener& listener) = 0;
};

}  // namespace hawthorndrum
