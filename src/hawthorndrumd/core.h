/// The systems of one daemon, built and joined.
#pragma once

#include <memory>

#include "ports/peer_transport.h"
#include "systems/event.h"

namespace hawthorndrum {

class admin_front;
class caller_port;
class clock;
class engine_port;
class metrics_registry;
class object_store;
class random_source;
class tick_loop;
class trace_sink;
class upstream_port;
class whole_calls;
struct daemon_settings;

/** What the systems act through. */
struct core_ports {
  object_store& store;
  engine_port& engines;
  upstream_port& upstreams;
  caller_port& callers;
  peer_transport& links;
  whole_calls& calls;
  const clock& time;
  random_source& random;
  trace_sink& traces;
  metrics_registry& metrics;
};

/**
 * Owns the tables and systems, gives events to the systems that they are for, and fixes the order
 * in which the systems run.
 */
class core {
 public:
  core(const daemon_settings& settings, incarnation_id self, const core_ports& ports);
  ~core();

  void AddSystems(tick_loop& loop);
  void AddSections(admin_front& front);
  void Receive(event happened);
  peer_transport_listener& peer_listener();

  /** New requests are refused from now on, and the lease is given back. */
  void BeginStop();
  /** Whether a configuration is in force and the engines are known well enough to route. */
  bool is_ready() const;
  /** Requests that are not over. */
  std::size_t in_flight() const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace hawthorndrum
