/// Builds the request path.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "systems/request_ports.h"
#include "systems/request_system.h"

namespace hawthorndrum {

/**
 * Collects the dependencies of a request_system. All ports and tables but Peers and Demand must be
 * set before Build.
 */
class request_system_builder {
 public:
  request_system_builder& Upstreams(upstream_table& table) {
    ports_.upstreams = &table;
    return *this;
  }
  request_system_builder& Config(const config_view& config) {
    ports_.config = &config;
    return *this;
  }
  request_system_builder& Claims(claim_gate& claims) {
    ports_.claims = &claims;
    return *this;
  }
  request_system_builder& Upstream(upstream_port& port) {
    ports_.upstream = &port;
    return *this;
  }
  request_system_builder& Callers(caller_port& port) {
    ports_.callers = &port;
    return *this;
  }
  request_system_builder& Clock(const clock& time) {
    ports_.time = &time;
    return *this;
  }
  request_system_builder& Random(random_source& random) {
    ports_.random = &random;
    return *this;
  }
  request_system_builder& Traces(trace_sink& traces) {
    ports_.traces = &traces;
    return *this;
  }
  request_system_builder& Metrics(metrics_registry& metrics) {
    ports_.metrics = &metrics;
    return *this;
  }
  request_system_builder& Peers(peer_port& peers) {
    ports_.peers = &peers;
    return *this;
  }
  request_system_builder& Demand(demand_observer& observer) {
    ports_.demand = &observer;
    return *this;
  }
  request_system_builder& DataCentre(std::string name) {
    ports_.data_centre = std::move(name);
    return *this;
  }
  /** Enables spilling; without it no request spills to or from other data centres. */
  request_system_builder& Spill(spill_settings settings) {
    ports_.spill = std::move(settings);
    return *this;
  }
  request_system_builder& Incarnation(incarnation_id incarnation) {
    ports_.incarnation = incarnation;
    return *this;
  }

  std::unique_ptr<request_system> Build() { return std::make_unique<request_system>(ports_); }

 private:
  request_ports ports_;
};

}  // namespace hawthorndrum
