/// Finds out at which build the streams began that callers resume.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/arrived_request.h"
#include "resumes/single_build.h"

namespace hawthorndrum {

class build_record_port;
class fleet_table;
class gateway_config;
class resume_listener;
struct gateway_ports;
struct route;

/**
 * A stream goes on only at the build that began it: as this daemon remembers, as others do, or as
 * the only build that can have begun it. Otherwise the request is refused and does not run.
 *
 * Invariant: each request that is handed over with Resume is reported to the listener once, unless
 * it is dropped.
 */
class stream_resumes {
 public:
  stream_resumes(const gateway_ports& ports, fleet_table& fleet, resume_listener& listener)
      : ports_(ports), listener_(listener), only_(fleet) {}

  /** `config` holds the route until the result is known. */
  void Resume(arrived_request arrived, const route& matched,
              std::shared_ptr<const gateway_config> config);
  /** The answer of other daemons; no build if none of them remembers the stream. */
  void OnOrigin(stream_key key, std::optional<software_build> build);
  /** The record that was asked for; null if there is none that can be trusted. */
  void OnRecord(const settled_builds* record);
  /** Sets where the record is read; without, only what this daemon itself followed counts. */
  void SetRecordPort(build_record_port& port) { record_port_ = &port; }
  /** Forgets a request whose caller has gone. */
  void Drop(request_id id);

  single_build& only() { return only_; }
  /** Requests whose stream is being asked for. */
  std::size_t waiting() const { return waiting_.size() + waiting_for_record_.size(); }

 private:
  struct waiting_request {
    arrived_request arrived;
    std::shared_ptr<const gateway_config> config;
    const route* matched = nullptr;
  };

  /** Decides on a stream that no daemon remembers, or waits for the record. */
  void DecideUnremembered(waiting_request waiting, bool may_ask);
  void Decide(arrived_request arrived, std::optional<software_build> build,
              std::string_view source);

  const gateway_ports& ports_;
  resume_listener& listener_;
  single_build only_;
  build_record_port* record_port_ = nullptr;
  /** Other daemons were asked for their streams. */
  std::multimap<stream_key, waiting_request> waiting_;
  /** No daemon remembers their streams, and the record is being read. */
  std::vector<waiting_request> waiting_for_record_;
};

}  // namespace hawthorndrum
