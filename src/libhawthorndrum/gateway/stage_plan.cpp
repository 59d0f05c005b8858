/// Planning the engines' stages.
#include "gateway/stage_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace hawthorndrum {

std::size_t EnginesThatRead(std::size_t engines, const stage_shares& shares) {
  if (engines < 2 * shares.fewest_of_each) return engines / 2;
  const auto wanted =
      static_cast<std::size_t>(std::lround(static_cast<double>(engines) * shares.reading));
  return std::clamp(wanted, shares.fewest_of_each, engines - shares.fewest_of_each);
}

std::vector<stage_change> PlanStages(const std::vector<planned_engine>& engines,
                                     const stage_shares& shares, std::size_t slack) {
  const std::size_t wanted = EnginesThatRead(engines.size(), shares);
  std::size_t reading = 0;
  std::map<std::string, std::size_t> reading_in;
  for (const planned_engine& each : engines) {
    if (each.stage != engine_stage::kPrefill) continue;
    ++reading;
    ++reading_in[each.data_centre];
  }
  const std::size_t off = reading < wanted ? wanted - reading : reading - wanted;
  if (off == 0 || off < slack) return {};
  const bool more = reading < wanted;
  const engine_stage from = more ? engine_stage::kDecode : engine_stage::kPrefill;
  const engine_stage to = more ? engine_stage::kPrefill : engine_stage::kDecode;

  std::vector<const planned_engine*> candidates;
  for (const planned_engine& each : engines) {
    if (each.stage == from && !each.changing) candidates.push_back(&each);
  }
  std::vector<stage_change> changes;
  while (changes.size() < off && !candidates.empty()) {
    const auto best =
        std::min_element(candidates.begin(), candidates.end(), [&](const auto* a, const auto* b) {
          const std::size_t in_a = reading_in[a->data_centre];
          const std::size_t in_b = reading_in[b->data_centre];
          if (in_a != in_b) return more ? in_a < in_b : in_a > in_b;
          if (a->running != b->running) return a->running < b->running;
          return a->id < b->id;
        });
    changes.push_back({(*best)->id, to});
    std::size_t& in_data_centre = reading_in[(*best)->data_centre];
    in_data_centre = more ? in_data_centre + 1 : in_data_centre - 1;
    candidates.erase(best);
  }
  return changes;
}

}  // namespace hawthorndrum
