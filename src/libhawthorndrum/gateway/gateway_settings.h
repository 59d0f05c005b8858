/// The settings of a gateway daemon.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/findings.h"
#include "base/units.h"
#include "gateway/retry_allowance.h"

namespace hawthorndrum {

/** Addresses are `ip:port`. */
struct gateway_settings {
  std::string host;
  std::string data_centre;
  /** Where callers connect. */
  std::string callers_address;
  /** Where the platform's balancer asks whether this daemon takes new connections. */
  std::string readiness_address;
  /** Where the other daemons send their notices, UDP. */
  std::string notices_address;
  /** Counters and histograms; none when empty. */
  std::string metrics_address;
  /** The platform's object store. */
  std::string store_address;
  /** From SIGTERM to SIGKILL. */
  duration stop_grace = seconds(8);
  /** Upstreams get no new work so long after the store was told that they leave. */
  duration leaving_known_within = seconds(2);
  std::uint32_t file_limit = 4096;
  retry_limits retries;
};

/** Reads the settings' YAML; all that is wrong with it is added to `found`. */
gateway_settings ReadGatewaySettings(const std::string& file, std::string_view text,
                                     findings& found);

}  // namespace hawthorndrum
