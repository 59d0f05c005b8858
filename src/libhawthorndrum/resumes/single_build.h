/// Decides at which build a stream began that no daemon remembers.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "resumes/build_history.h"

namespace hawthorndrum {

class fleet_table;
class gateway_config;
struct route;

/**
 * A stream of unknown origin began at the only build that the route's services have had for longer
 * than a stream and the return of its caller take. That is known only to a daemon that has followed
 * the host list for so long, and follows it now.
 *
 * Answers the load of callers that come back together after daemons were lost.
 */
class single_build {
 public:
  /** Callers are told of a lost connection and return within this time. */
  static constexpr duration kShortestWindow = seconds(30);

  explicit single_build(fleet_table& fleet) : fleet_(fleet) {}

  /** The host list was read completely; changes before that may have been missed. */
  void OnListRead(time_point now);
  /** Whether changes of the host list arrive. */
  void SetListCurrent(bool is_current) { list_is_current_ = is_current; }
  /** Whether newer configurations arrive. */
  void SetConfigCurrent(bool is_current) { config_is_current_ = is_current; }
  void OnConfig(const gateway_config& config, time_point now);
  /** Records the builds that are listed; called before rows of the fleet are erased. */
  void Observe(time_point now);

  /** Returns the build at which every stream of the route began that a caller may resume. */
  std::optional<software_build> Find(const route& matched, time_point now);
  /** Returns how long a service must have had one build. */
  static duration WindowOf(const route& matched);

 private:
  struct target_set {
    std::vector<std::string> services;
    /** Since when the route has had them. */
    time_point since;
  };
  /** Host and path prefix. */
  using route_key = std::pair<std::string, std::string>;

  fleet_table& fleet_;
  build_history builds_;
  std::optional<time_point> list_known_since_;
  bool list_is_current_ = false;
  bool config_is_current_ = true;
  std::map<route_key, target_set> targets_;
};

}  // namespace hawthorndrum
