/// Builds the systems of one daemon and wires them together.
#pragma once

#include <memory>

#include "ports/peer_transport.h"
#include "systems/event.h"

namespace hawthorndrum {

class admin_endpoint;
class caller_port;
class clock;
class engine_port;
class metrics_registry;
class object_store;
class random_source;
class tick_loop;
class trace_sink;
class upstream_port;
class buffered_calls;
struct daemon_settings;

/** The ports through which the systems act. */
struct core_ports {
  object_store& store;
  engine_port& engines;
  upstream_port& upstreams;
  caller_port& callers;
  peer_transport& links;
  buffered_calls& calls;
  const clock& time;
  random_source& random;
  trace_sink& traces;
  metrics_registry& metrics;
};

/**
 * Owns the tables and systems, dispatches each event to the system that handles it, and defines the
 * order in which the systems run in a tick.
 */
class core {
 public:
  core(const daemon_settings& settings, incarnation_id self, const core_ports& ports);
  ~core();

  void AddSystems(tick_loop& loop);
  void AddSections(admin_endpoint& endpoint);
  void Receive(event new_event);
  peer_transport_listener& peer_listener();

  /** Refuses new requests from now on and releases the lease. */
  void BeginStop();
  /** Whether a configuration is in force and enough is known of the engines to route requests. */
  bool is_ready() const;
  /** The number of requests that have not ended. */
  std::size_t in_flight() const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace hawthorndrum
