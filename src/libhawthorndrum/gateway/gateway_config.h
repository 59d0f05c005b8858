/// One version of the operator's configuration, in the form that the gateway uses.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/units.h"
#include "gateway/route.h"
#include "scaling/scale_limits.h"
#include "teams/key_index.h"
#include "teams/team.h"

namespace hawthorndrum {

/** The configuration of a service. */
struct gateway_service {
  std::string name;
  /** Connections that one upstream accepts from all daemons together. */
  std::uint32_t max_connections = 100;
  bool is_engine = false;
  /** Requests that one engine runs concurrently. */
  std::uint32_t slots = 0;
  /** Capacity of one engine's KV cache, in tokens. */
  std::uint64_t memory_tokens = 0;
  /** Bytes of KV cache per token. */
  std::uint64_t token_bytes = 0;
  /** Bandwidth of the engines' links for KV cache transfer, in megabits per second. */
  double link_mbps = 0;
  /** How long an engine keeps the KV cache of a prompt that it prefilled for another engine. */
  duration handle_lifetime = seconds(5);
  /** Set if the number of its upstreams follows the demand. */
  std::optional<scale_limits> scale;
};

/** Limits on callers' requests and connections. */
struct caller_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  duration header_timeout = seconds(3);
  duration idle_timeout = seconds(15);
};

/**
 * Invariant: after Index(), the routes of a host are in descending order of prefix length.
 */
class gateway_config {
 public:
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<gateway_service> services;
  /** If there are any, callers need a key. */
  std::vector<team> teams;
  caller_limits limits;
  /** What was left out since it could not be read; the rest is in force. */
  std::vector<std::string> left_out;

  /** Builds the index for FindRoute; called once after `routes` is filled. */
  void Index();
  /**
   * Builds the index of the teams' keys; called once after `teams` is filled. The index of the
   * version before, if any, is shared when the teams are the same. A key that teams of different
   * names hold stays with the one that it identified in that version, and else identifies none.
   */
  void IndexKeys(std::uint64_t secret, const gateway_config* before);

  /** Returns the route with the longest prefix that matches the path; null when none does. */
  const route* FindRoute(std::string_view host, std::string_view path) const;
  const gateway_service* FindService(std::string_view name) const;
  /** The index of the teams' keys; null if callers need none. */
  const key_index* keys() const { return keys_.get(); }

 private:
  /** Indices into `routes` by host. */
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host_;
  std::shared_ptr<const key_index> keys_;
};

}  // namespace hawthorndrum
