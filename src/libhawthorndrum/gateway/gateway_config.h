/// One version of the operator's configuration as the gateway uses it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/units.h"
#include "gateway/route.h"

namespace hawthorndrum {

/** What the configuration says of a service. */
struct gateway_service {
  std::string name;
  /** Connections that one upstream accepts from all daemons together. */
  std::uint32_t max_connections = 100;
  bool is_engine = false;
  /** Requests that one engine runs at once. */
  std::uint32_t slots = 0;
  /** Tokens that one engine's KV cache holds. */
  std::uint64_t memory_tokens = 0;
  /** Bytes of KV cache for one token. */
  std::uint64_t token_bytes = 0;
  /** The engines' links for moving KV cache, in megabits a second. */
  double link_mbps = 0;
  /** How long an engine keeps a prompt that was read for another engine. */
  duration handle_lifetime = seconds(5);
};

/** Bounds on what callers may send. */
struct caller_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  duration header_timeout = seconds(3);
  duration idle_timeout = seconds(15);
};

/**
 * Invariant: within a host, routes are ordered by falling length of their prefix once Index() ran.
 */
class gateway_config {
 public:
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<gateway_service> services;
  caller_limits limits;

  /** Builds what FindRoute uses; call it once after routes are filled. */
  void Index();

  /** The route with the longest prefix that begins the path; null when none does. */
  const route* FindRoute(std::string_view host, std::string_view path) const;
  const gateway_service* FindService(std::string_view name) const;

 private:
  /** Places in `routes` by host. */
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host_;
};

}  // namespace hawthorndrum
