/// Finds which upstream of a service first takes requests again.
#include "gateway/time_asked.h"

#include <algorithm>

#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"

namespace hawthorndrum {

namespace {

/** Another daemon may call a limited upstream sooner than this one. */
constexpr duration kMaxLimitWait = seconds(1);

}  // namespace

std::optional<wanted_upstream> EarliestWanted(fleet_table& fleet, const placement_query& query,
                                              time_point now) {
  std::optional<wanted_upstream> earliest;
  for (const fleet_upstream* row : fleet.OfService(query.service->name)) {
    if (!row->takes_work(now) || row->reachability.is_lost) continue;
    // Prefill engines run no requests.
    if (row->entry.stage == engine_stage::kPrefill) continue;
    if (query.build && row->build != query.build) continue;
    const time_point limited_until =
        std::min(row->said.limit.NextAt(row->last_active_at, now), now + kMaxLimitWait);
    const bool wants_nothing = row->said.WantsNothing(now);
    if (!wants_nothing && limited_until <= now) return std::nullopt;
    const time_point wanted_at =
        std::max({wants_nothing ? *row->said.next_call : now, limited_until, row->refuses_until});
    if (!earliest || wanted_at < earliest->at) earliest = {row->id, wanted_at};
  }
  return earliest;
}

}  // namespace hawthorndrum
