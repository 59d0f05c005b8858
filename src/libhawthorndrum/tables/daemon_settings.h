/// Validated contents of a daemon's settings file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** Paths of PEM files; all empty when TLS is off. `authority` is the CA of client certificates. */
struct tls_settings {
  std::string certificate;
  std::string key;
  std::string authority;

  bool enabled() const { return !certificate.empty(); }
};

enum class log_level { kInfo, kWarning, kError };

/** Destination and level of the log; an empty directory means stderr. */
struct log_settings {
  std::string directory;
  log_level level = log_level::kInfo;
};

/** Limits on connections and on what they may send. */
struct connection_limits {
  std::uint64_t body_bytes = 8ULL * 1024 * 1024;
  std::uint64_t header_bytes = 16ULL * 1024;
  std::uint32_t connections = 16384;
  std::uint32_t idle_upstream_connections = 64;
  duration idle_timeout = seconds(60);
};

/**
 * Settings of one daemon. Addresses are `ip:port`. `peers_address` also names the daemon to its
 * peers and in the host list.
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
  /** Token that operators present on the admin port. */
  std::string admin_token;
  /** Key shared by all daemons, by which peers authenticate. */
  std::string peer_key;
  tls_settings callers_tls;
  tls_settings admin_tls;
  /** Factor on the price of a role change; 1 is neutral, higher means fewer changes. */
  double role_change_price = 1;
  /** The time of a caller's waiting that a megabyte between data centres is worth. */
  double ms_per_megabyte = 250;
  duration lease_duration = seconds(10);
  /** Time for which a stopping daemon still accepts requests, so that load balancers can react. */
  duration stop_grace = seconds(5);
  /** Maximum of concurrent model loads from the weight store. */
  std::uint32_t model_loads_at_once = 2;
  /** OTLP/HTTP endpoint for spans; empty when tracing is off. */
  std::string trace_exporter;
  /** Share of requests that are traced. */
  double trace_share = 0.01;
  log_settings log;
  connection_limits limits;
};

}  // namespace hawthorndrum
