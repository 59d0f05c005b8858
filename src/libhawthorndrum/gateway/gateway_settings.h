/// The settings of a gateway daemon.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/findings.h"
#include "base/units.h"
#include "crossing/crossing_terms.h"
#include "duties/duty_settings.h"
#include "gateway/retry_allowance.h"
#include "gateway/stage_planner.h"

namespace hawthorndrum {

/** Addresses are `ip:port`. */
struct gateway_settings {
  std::string host;
  std::string data_centre;
  /** Listening address for callers. */
  std::string callers_address;
  /** Listening address for the readiness check of the platform's load balancer. */
  std::string readiness_address;
  /** Listening address for the other daemons' notices, UDP. */
  std::string notices_address;
  /** Listening address for metrics; none are served when empty. */
  std::string metrics_address;
  /** Address of the platform's object store. */
  std::string store_address;
  /** Time from SIGTERM to SIGKILL. */
  duration stop_grace = seconds(8);
  /** An upstream gets no new work from this long after its leaving was written to the store. */
  duration leaving_known_within = seconds(2);
  std::uint32_t file_limit = 4096;
  /** Memory of the process in bytes; 0 if it is not limited. */
  std::uint64_t memory = 0;
  /** In a data centre with this many daemons or more, one of them reads the host list for all. */
  std::uint32_t shared_reading_from = 12;
  retry_limits retries;
  stage_plan_limits stages;
  duty_settings duties;
  crossing_terms crossing;
};

/** Reads the settings from YAML and adds every fault to `found`. */
gateway_settings ReadGatewaySettings(const std::string& file, std::string_view text,
                                     findings& found);

}  // namespace hawthorndrum
