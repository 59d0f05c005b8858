/// Applies the platform's host list to the fleet table.
#pragma once

#include <string>
#include <string_view>
#include <unordered_set>

#include "base/units.h"
#include "gateway/object_watch.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

class clock;
class event_log;
class gateway;

/**
 * Adds and removes upstreams as the host list changes. During an outage of the store the entries of
 * live upstreams expire, since these cannot renew them; they register again soon after the store
 * answers. An upstream that is missing just after an outage therefore gets work for another
 * kExpiryGrace, unless it was leaving.
 */
class upstream_directory : public object_watch_listener {
 public:
  /** Live upstreams register again within about two seconds after the store answers again. */
  static constexpr duration kExpiryGrace = milliseconds(1800);

  upstream_directory(gateway& served, const clock& time, event_log& log)
      : gateway_(served), time_(time), log_(log) {}

  void Put(const upstream_entry& entry);
  void Remove(std::string_view entry_id);
  /** Logs an entry that cannot be decoded, and removes its upstream. */
  void NoteUnreadable(std::string_view entry_id, std::string_view why);

  void OnListBegins() override { listed_.clear(); }
  void OnListComplete() override;
  void OnCurrent(bool is_current) override;
  void OnStoreRecovered(duration outage) override;
  void OnStoreRestored() override;

 private:
  time_point RemovalTime(time_point now) const;

  gateway& gateway_;
  const clock& time_;
  event_log& log_;
  /** Names in the current list, or in the last one if none is being read. */
  std::unordered_set<std::string> listed_;
  time_point expiry_grace_until_;
};

}  // namespace hawthorndrum
