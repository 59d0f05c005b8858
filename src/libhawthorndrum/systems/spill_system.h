/// Hands requests to daemons of other data centres, and takes in theirs.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"
#include "ports/host_entry.h"
#include "systems/spill_limits.h"
#include "systems/system.h"
#include "tables/request_row.h"

namespace hawthorndrum {

class counter;
class metrics_registry;
class random_source;

/** Without a key or a port nothing is handed over or taken in. */
struct spill_settings {
  std::string key;
  /** Where daemons listen for callers: the same port at all of them. */
  std::string callers_port;
};

/** A daemon of another data centre, by its callers' address. */
struct spill_target {
  std::string data_centre;
  std::string address;
};

/** What a request says of where it comes from. */
enum class spill_origin { kCaller, kOtherDataCentre, kForged };

/**
 * Chooses where a request spills to, within limits for each service and data centre, and admits
 * what others spill within a limit for each service. A request is marked by a header that holds
 * an HMAC under the peers' key; whoever gets a marked request never hands it on.
 */
class spill_system : public system {
 public:
  static constexpr std::string_view kHeader = "X-Spilled-From";
  static constexpr std::size_t kLongestBody = std::size_t{1} << 20;
  /** After a refusal the service's requests keep away from that data centre for so long. */
  static constexpr duration kAvoidance = seconds(1);

  spill_system(spill_settings settings, std::string own_data_centre, random_source& random,
               metrics_registry& metrics);

  /** The daemons of other data centres. A list without any leaves the last one in force. */
  void OnHostList(boost::span<const host_entry> hosts);

  /** Where the request may go now; takes a place there, which Ended gives back. */
  std::optional<spill_target> Choose(const request_row& request, time_point now);
  void Ended(const service_config& service, const std::string& data_centre);
  /** The data centre refused the request or could not be reached. */
  void Refused(const service_config& service, const std::string& data_centre, time_point now);

  /** Marks a request that leaves for another data centre. */
  void Mark(http_request& request, attempt_id attempt) const;
  /** Reads the mark and takes it off. */
  spill_origin TakeMark(http_request& request) const;

  /** Takes a place for a request from another data centre, which Left gives back. */
  bool Admit(const request_row& request, time_point now);
  void Left(const service_config& service) { incoming_.Release(service.name); }

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
  /** Callers' addresses of each other data centre's daemons. */
  std::map<std::string, std::vector<std::string>> others_;
  spill_limits outgoing_;
  spill_limits incoming_;
};

}  // namespace hawthorndrum
