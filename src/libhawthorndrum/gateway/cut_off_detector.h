/// Finds out whether this daemon reaches no upstream of a service, although they may be sound.
///
/// Answers the load of callers at a host whose links to the upstreams are lost: their requests must
/// not be spent on connections that fail one after the other.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

class event_log;
class fleet_table;
class metrics_registry;
class random_source;
class reachability_monitor;
struct fleet_upstream;

/**
 * Judges by new connections alone: older ones may still work after a cut, or hang. A failed
 * connection, or silence of all upstreams, raises a suspicion. Two other upstreams of the service
 * are probed then, and more if both fail; the service is cut off if every probe fails. It is
 * reached again when connections to two upstreams have succeeded.
 *
 * Invariant: a service is cut off only if no connection to one of its upstreams has succeeded since
 * the suspicion.
 */
class cut_off_detector {
 public:
  /** After this time without a byte from any upstream, while calls are open, links are suspected.
   */
  static constexpr duration kSuspiciousSilence = milliseconds(400);

  cut_off_detector(fleet_table& fleet, reachability_monitor& reachability, random_source& random,
                   event_log& log, metrics_registry& metrics);

  /** A new connection to the upstream was opened. */
  void OnConnected(fleet_upstream& row, time_point now);
  void OnNotConnected(fleet_upstream& row, time_point now);
  /** All upstreams have been silent for kSuspiciousSilence while calls to that service were open.
   */
  void OnSilence(const std::string& service, time_point now);

  void Run(time_point now);

  /** Whether this daemon reaches no upstream of the service. */
  bool IsCutOff(const std::string& service) const;
  /** Whether it reaches no upstream of any service. */
  bool IsCutOffFromAll() const { return cut_off_from_all_; }
  /** Whether that is so or suspected, so that failures say nothing about the upstreams. */
  bool IsSuspected(const std::string& service) const;
  /**
   * Whether other daemons may serve a request that this one cannot: they have heard from an
   * upstream of the service since this one failed to connect to it, or this daemon reaches nothing.
   */
  bool PeersMayReach(const std::string& service, time_point now) const;

 private:
  enum class phase { kReached, kSuspected, kCutOff };
  struct service_state {
    phase current = phase::kReached;
    time_point since;
    /** The upstreams whose connections decide on a suspicion. */
    std::vector<upstream_id> sample;
    /** No suspicion is raised before. */
    time_point next_suspicion;
    time_point next_probes;
  };

  void Suspect(const std::string& service, time_point now);
  void SuspectAll(time_point now);
  /** Adds random upstreams of the service to the sample and probes those not tried just now. */
  bool EnlargeSample(const std::string& service, service_state& state, std::size_t size,
                     time_point now);
  void JudgeSuspicion(const std::string& service, service_state& state, time_point now);
  void RunCutOff(const std::string& service, service_state& state, time_point now);
  void End(const std::string& service, service_state& state, time_point now);
  /** Probes a few of the upstreams, drawn at random. */
  void ProbeSome(std::vector<fleet_upstream*> among, time_point now);
  std::vector<fleet_upstream*> UpstreamsOf(const std::string& service, time_point now) const;

  fleet_table& fleet_;
  reachability_monitor& reachability_;
  random_source& random_;
  event_log& log_;
  metrics_registry& metrics_;
  std::map<std::string, service_state> services_;
  time_point last_run_;
  bool cut_off_from_all_ = false;
};

}  // namespace hawthorndrum
