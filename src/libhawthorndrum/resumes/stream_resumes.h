/// Finds out at which build the streams began that callers resume.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/arrived_request.h"
#include "resumes/single_build.h"

namespace hawthorndrum {

class build_record_port;
class change_check_port;
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
 * it is dropped or taken back.
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
  /**
   * The result of a check: the builds of each service that were listed since this daemon's last
   * news; nothing if it is not known, or if routes may have changed.
   */
  using listed_builds = std::vector<std::pair<std::string, software_build>>;
  void OnChecked(const std::optional<listed_builds>& listed);
  /** Sets what checks for changes; without, this daemon is taken to have heard of all. */
  void SetCheckPort(change_check_port& port) { check_port_ = &port; }
  /** Sets where the record is read; without, only what this daemon itself followed counts. */
  void SetRecordPort(build_record_port& port) { record_port_ = &port; }
  /** Hands all waiting requests back, without a report to the listener. */
  std::vector<arrived_request> TakeAll();
  /** Forgets a request whose caller has gone. */
  void Drop(request_id id);

  single_build& only() { return only_; }
  /** Requests whose stream is being asked for. */
  std::size_t waiting() const {
    return waiting_.size() + waiting_for_record_.size() + waiting_for_check_.size() +
           being_checked_.size();
  }

 private:
  struct waiting_request {
    arrived_request arrived;
    std::shared_ptr<const gateway_config> config;
    const route* matched = nullptr;
    /** Whether changes were checked for after it had arrived. */
    bool is_checked = false;
  };

  /** Decides on a stream that no daemon remembers, or waits for the record. */
  void DecideUnremembered(waiting_request waiting, bool may_ask);
  /** Asks for changes, on behalf of all requests that wait for that. */
  void Check();
  void Decide(arrived_request arrived, std::optional<software_build> build,
              std::string_view source);

  const gateway_ports& ports_;
  resume_listener& listener_;
  single_build only_;
  build_record_port* record_port_ = nullptr;
  change_check_port* check_port_ = nullptr;
  /** Other daemons were asked for their streams. */
  std::multimap<stream_key, waiting_request> waiting_;
  /** No daemon remembers their streams, and the record is being read. */
  std::vector<waiting_request> waiting_for_record_;
  /** Each arrived after the open check had begun, so the next one is for them. */
  std::vector<waiting_request> waiting_for_check_;
  /** Requests that the open check is for; each arrived before it began. */
  std::vector<waiting_request> being_checked_;
};

}  // namespace hawthorndrum
