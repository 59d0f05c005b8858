/// Sends requests to daemons of other data centres, and admits requests from them.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"
#include "crossing/crossing_policy.h"
#include "ports/host_entry.h"
#include "systems/spill_limits.h"
#include "systems/system.h"
#include "tables/request_row.h"

namespace hawthorndrum {

class counter;
class metrics_registry;
class random_source;

/** Without a key no request is spilled or admitted; without a port none is spilled. */
struct spill_settings {
  std::string key;
  /** The port that every daemon serves callers on. */
  std::string callers_port;
  crossing_terms crossing{};
};

/** A daemon of another data centre, and the address that it serves callers on. */
struct spill_target {
  std::string data_centre;
  std::string address;
};

/** Where a request comes from, by the mark that it carries. */
enum class spill_origin { kCaller, kOtherDataCentre, kForged };

/**
 * Chooses where a request spills to, if crossing_policy finds that leaving pays and within limits
 * per service and data centre, and admits requests
 * that other data centres spill, within a limit per service. A spilled request carries a mark, a
 * header with an HMAC under the peers' key; a marked request is never spilled again.
 */
class spill_system : public system {
 public:
  static constexpr std::string_view kHeader = "X-Spilled-From";
  static constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
  /** How long a service's requests avoid a data centre that refused one or was unreachable. */
  static constexpr duration kAvoidance = seconds(1);

  spill_system(spill_settings settings, std::string own_data_centre, random_source& random,
               metrics_registry& metrics);

  /**
   * Takes the daemons of other data centres from the list. A list without any leaves the last ones
   * in force.
   */
  void OnHostList(boost::span<const host_entry> hosts);

  /** Returns where the request may spill to now, and takes a slot there, which Ended releases. */
  std::optional<spill_target> Choose(const request_row& request, time_point now);
  void Ended(const service_config& service, const std::string& data_centre);
  /** Records that the first bytes of its answer came after `taken`. */
  void Answered(const service_config& service, const std::string& data_centre, duration taken,
                time_point now);
  /** Records that the data centre refused the request or could not be reached. */
  void Refused(const service_config& service, const std::string& data_centre, time_point now);

  /** Marks a request that leaves for another data centre. */
  void Mark(http_request& request, attempt_id attempt) const;
  /** Reads and verifies the mark, and removes it from the request. */
  spill_origin ExtractMark(http_request& request) const;

  /**
   * Takes a slot for a request from another data centre. Returns false when the request must be
   * refused. ReleaseAdmitted releases the slot when the request has ended.
   */
  bool Admit(const request_row& request, time_point now);
  void ReleaseAdmitted(const service_config& service) { incoming_.Release(service.name); }

  void Run(time_point now) override;

 private:
  std::string Proof(const http_request& request, std::string_view origin) const;

  spill_settings settings_;
  std::string own_data_centre_;
  random_source& random_;
  counter& sent_;
  counter& refused_;
  counter& admitted_;
  counter& turned_away_;
  /** The addresses on which the daemons of each other data centre serve callers. */
  std::map<std::string, std::vector<std::string>> others_;
  /** Whether a request gains by leaving, and how far each data centre is trusted. */
  crossing_policy crossing_;
  spill_limits outgoing_;
  spill_limits incoming_;
};

}  // namespace hawthorndrum
