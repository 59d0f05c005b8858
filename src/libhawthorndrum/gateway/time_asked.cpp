/// Finds the earliest end of the times that a service's upstreams asked for.
#include "gateway/time_asked.h"

#include <algorithm>

#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"

namespace hawthorndrum {

std::optional<wanted_upstream> EarliestWanted(fleet_table& fleet, const placement_query& query,
                                              time_point now) {
  std::optional<wanted_upstream> earliest;
  for (const fleet_upstream* row : fleet.OfService(query.service->name)) {
    if (!row->takes_work(now) || row->reachability.is_lost) continue;
    // Prefill engines run no requests.
    if (row->entry.stage == engine_stage::kPrefill) continue;
    if (query.build && row->build != query.build) continue;
    if (!row->said.WantsNothing(now)) return std::nullopt;
    const time_point wanted_at = std::max(*row->said.next_call, row->refuses_until);
    if (!earliest || wanted_at < earliest->at) earliest = {row->id, wanted_at};
  }
  return earliest;
}

}  // namespace hawthorndrum
