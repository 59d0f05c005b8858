/// What a daemon's settings file says, after it has been checked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** Paths of PEM files; all empty when TLS is off. `authority` is the CA that clients must have. */
struct tls_settings {
  std::string certificate;
  std::string key;
  std::string authority;

  bool enabled() const { return !certificate.empty(); }
};

enum class log_level { kInfo, kWarning, kError };

/** Where log lines go; an empty directory means stderr. */
struct log_settings {
  std::string directory;
  log_level level = log_level::kInfo;
};

/** Bounds on what connections may send and hold. */
struct connection_limits {
  std::uint64_t body_bytes = 8ULL * 1024 * 1024;
  std::uint64_t header_bytes = 16ULL * 1024;
  std::uint32_t connections = 16384;
  std::uint32_t idle_upstream_connections = 64;
  duration idle_timeout = seconds(60);
};

/**
 * One daemon's settings. Addresses are `ip:port`. The peers' address is also the daemon's name
 * towards its peers and in the host list.
 */
struct daemon_settings {
  std::string data_centre;
  std::string region;
  std::string callers_address = "0.0.0.0:8001";
  std::string peers_address;
  std::string admin_address = "127.0.0.1:8003";
  std::string object_api;
  std::string host_list;
  std::vector<std::string> seed_peers;
  /** Operators' token on the admin port. */
  std::string admin_token;
  /** The key shared by all daemons, by which peers prove who they are. */
  std::string peer_key;
  tls_settings callers_tls;
  tls_settings admin_tls;
  /** How much the gain of a role change must be worth; 1 is neutral, higher means fewer changes. */
  double role_change_price = 1;
  duration lease_duration = seconds(10);
  /** How long a stopping daemon still takes requests, so that the balancer can turn away. */
  duration stop_grace = seconds(5);
  /** Model loads that may run at once against the weight store. */
  std::uint32_t model_loads_at_once = 2;
  /** Where spans go by OTLP/HTTP; empty when tracing is off. */
  std::string trace_exporter;
  /** The share of requests that are traced. */
  double trace_share = 0.01;
  log_settings log;
  connection_limits limits;
};

}  // namespace hawthorndrum
