/// HTTP client for a daemon's admin port.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "common_options.h"

namespace hawthorndrum {

/**
 * Calls one daemon's admin port, with the operators' token and a timeout for each call.
 */
class admin_client {
 public:
  /** Reads --admin, --token-file or HAWTHORNDRUM_ADMIN_TOKEN, --authority and --timeout. */
  static expected<admin_client> FromOptions(const arguments& args);

  expected<nlohmann::json> Get(std::string_view path) const;
  expected<nlohmann::json> Post(std::string_view path, const nlohmann::json& body) const;

 private:
  expected<nlohmann::json> Call(http_request request) const;

  http_endpoint endpoint_;
  std::string token_;
  duration timeout_{0};
};

/** How many daemons have which generation in force, as one daemon knows it. */
struct spread_report {
  generation current;
  generation lowest;
  /** The publishing run whose generation is in force on the daemon that reports. */
  std::uint64_t publish_id = 0;
  std::uint64_t daemons = 0;
  std::vector<std::string> lagging;
};

expected<spread_report> ReadSpread(const admin_client& client);
std::string SpreadAsText(const spread_report& report, generation wanted);

}  // namespace hawthorndrum
