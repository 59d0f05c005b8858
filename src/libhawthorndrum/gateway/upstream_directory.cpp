/// Adds, updates and removes upstreams.
#include "gateway/upstream_directory.h"

#include <vector>

#include "base/log_record.h"
#include "gateway/gateway.h"
#include "ports/clock.h"
#include "ports/event_log.h"

namespace hawthorndrum {

namespace {

/** An entry expires after a few missed heartbeats, so a shorter outage expires none. */
constexpr duration kMinExpiryOutage = milliseconds(800);

std::string_view StateOf(const upstream_entry& entry) {
  return entry.leaving ? "leaving" : "serving";
}

}  // namespace

void upstream_directory::Put(const upstream_entry& entry) {
  listed_.insert(entry.id);
  fleet_table& fleet = gateway_.fleet();
  const fleet_upstream* known = fleet.FindEntry(entry.id);
  const bool changed = known == nullptr || !(known->entry == entry) || known->gone_at.has_value();
  const fleet_upstream& row = fleet.Put(entry);
  if (!changed) return;
  log_.Write(log_importance::kImportant,
             log_record("upstream_listed")
                 .Text("upstream", entry.id)
                 .Text("service", entry.service)
                 .Text("address", entry.address)
                 .Text("data_centre", entry.data_centre)
                 .Text("software", entry.software_version)
                 .Text("state", StateOf(entry))
                 .Number("stage", static_cast<int>(entry.stage))
                 .Number("born", static_cast<std::int64_t>(entry.born)));
  if (!row.said.leaving_since) return;
  log_.Write(log_importance::kImportant,
             log_record("upstream_leaving")
                 .Text("upstream", entry.id)
                 .Text("source", "listed_again")
                 .Number("age_ms", ToMilliseconds(time_.Now() - *row.said.leaving_since)));
}

time_point upstream_directory::RemovalTime(time_point now) const {
  return now < expiry_grace_until_ ? now + kExpiryGrace : now;
}

void upstream_directory::Remove(std::string_view entry_id) {
  const time_point now = time_.Now();
  const fleet_upstream* known = gateway_.fleet().FindEntry(entry_id);
  if (known == nullptr || known->gone_at) return;
  const time_point when = known->is_leaving() ? now : RemovalTime(now);
  log_.Write(log_importance::kImportant, log_record("upstream_gone")
                                             .Text("upstream", entry_id)
                                             .Text("state", StateOf(known->entry))
                                             .Number("in_ms", ToMilliseconds(when - now))
                                             .Number("running", known->own.running));
  gateway_.fleet().Remove(entry_id, when);
}

void upstream_directory::NoteUnreadable(std::string_view entry_id, std::string_view why) {
  log_.Write(log_importance::kNotable,
             log_record("upstream_entry_unreadable").Text("upstream", entry_id).Text("why", why));
  Remove(entry_id);
}

void upstream_directory::OnListComplete() {
  std::vector<std::string> missing;
  gateway_.fleet().ForEach([&](const fleet_upstream& row) {
    if (!row.gone_at && listed_.count(row.entry.id) == 0) missing.push_back(row.entry.id);
  });
  for (const std::string& entry_id : missing) Remove(entry_id);
  gateway_.SetFleetKnown();
}

void upstream_directory::OnCurrent(bool is_current) { gateway_.SetFleetCurrent(is_current); }

void upstream_directory::OnStoreRestored() {
  // Upstreams that the older copy lacks write their entries again.
  expiry_grace_until_ = time_.Now() + kExpiryGrace;
  gateway_.peers().ForgetFleetRevision();
}

void upstream_directory::OnStoreRecovered(duration outage) {
  if (outage >= kMinExpiryOutage) expiry_grace_until_ = time_.Now() + kExpiryGrace;
}

}  // namespace hawthorndrum
