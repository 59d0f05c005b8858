/// Decides at which build a stream began that no daemon remembers.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "resumes/build_history.h"
#include "resumes/settled_builds.h"

namespace hawthorndrum {

class fleet_table;
class gateway_config;
struct route;

/**
 * A stream of unknown origin began at the only build that the route's services have had for longer
 * than a stream and the return of its caller take. A daemon knows that if it has followed the host
 * list for so long, or if a record of the daemons before it says so; and only while it follows the
 * list.
 *
 * Answers the load of callers that come back together after daemons were lost.
 *
 * Invariant: nothing depends on a wall clock.
 */
class single_build {
 public:
  /** Callers are told of a lost connection and return within this time. */
  static constexpr duration kShortestWindow = seconds(30);
  /** After a longer pause between observations the process was held up and missed changes. */
  static constexpr duration kLongestGap = seconds(2);

  explicit single_build(fleet_table& fleet) : fleet_(fleet) {}

  /** The host list was read completely; changes before that may have been missed. */
  void OnListRead(time_point now);
  /** Whether changes of the host list arrive. */
  void SetListCurrent(bool is_current) { list_is_current_ = is_current; }
  /** Whether newer configurations arrive. */
  void SetConfigCurrent(bool is_current) { config_is_current_ = is_current; }
  void OnConfig(const gateway_config& config, time_point now);
  /** An upstream of that build was listed lately, though it may not be in the fleet (any more). */
  void OnListed(std::string_view service, software_build build) { builds_.Add(service, build); }
  /** Records the builds that are listed; called before rows of the fleet are erased. */
  void Observe(time_point now);

  /** Returns the build at which every stream of the route began that a caller may resume. */
  std::optional<software_build> Find(const route& matched, time_point now);
  /** Whether a record would tell what this daemon has not followed for long enough to know. */
  bool NeedsRecord(const route& matched, time_point now) const;
  /** A record that was read at this time; null if there is none that can be trusted. */
  void OnRecord(const settled_builds* record, time_point now);

  /** Returns the record with what this daemon has seen, which the record may not know yet. */
  settled_builds Update(const settled_builds& record, std::uint64_t era, time_point now);
  /** Whether any streams resume, and this daemon sees changes at once. */
  bool follows_changes() const {
    return !targets_.empty() && list_known_since_ && list_is_current_ && config_is_current_;
  }
  std::optional<time_point> list_known_since() const { return list_known_since_; }

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

  bool HasFollowedFor(duration window, const target_set& targets, time_point now) const;

  fleet_table& fleet_;
  build_history builds_;
  std::optional<time_point> list_known_since_;
  time_point observed_at_;
  bool list_is_current_ = false;
  bool config_is_current_ = true;
  std::map<route_key, target_set> targets_;
  std::uint64_t routes_id_ = 0;
  /** The longest window of the routes that go to a service. */
  std::map<std::string, duration, std::less<>> windows_;
  duration longest_window_ = kShortestWindow;
  time_point routes_changed_at_;
  std::optional<settled_builds> record_;
};

}  // namespace hawthorndrum
