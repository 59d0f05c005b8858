/// Turns what the platform's host list says into the fleet's rows.
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
 * Upstreams come and go as the list says. Entries lapse while the store is out although their
 * upstreams live; those come back soon after the store does. An upstream that is missing right
 * after an outage therefore keeps its work for kLapseGrace, unless it had said that it leaves.
 */
class upstream_directory : public object_watch_listener {
 public:
  /** Live upstreams register again within about two seconds of the store's return. */
  static constexpr duration kLapseGrace = milliseconds(1800);

  upstream_directory(gateway& served, const clock& time, event_log& log)
      : gateway_(served), time_(time), log_(log) {}

  void Put(const upstream_entry& entry);
  void Remove(std::string_view entry_id);
  /** An entry that can't be read names no upstream. */
  void NoteUnreadable(std::string_view entry_id, std::string_view why);

  void OnListBegins() override { listed_.clear(); }
  void OnListComplete() override;
  void OnStoreBack(duration silent_for) override;

 private:
  time_point RemovalTime(time_point now) const;

  gateway& gateway_;
  const clock& time_;
  event_log& log_;
  /** Names that the list under way, or the last one, had. */
  std::unordered_set<std::string> listed_;
  time_point distrust_until_;
};

}  // namespace hawthorndrum
