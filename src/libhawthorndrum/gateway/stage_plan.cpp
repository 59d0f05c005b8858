/// Computes the engines' stage changes.
#include "gateway/stage_plan.h"

#include <algorithm>
#include <map>
#include <string>

namespace hawthorndrum {

std::size_t PrefillCount(const std::vector<planned_engine>& engines) {
  return static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(),
      [](const planned_engine& each) { return each.stage == engine_stage::kPrefill; }));
}

std::vector<stage_change> PlanStages(const std::vector<planned_engine>& engines,
                                     std::size_t wanted) {
  const std::size_t prefill_count = PrefillCount(engines);
  std::map<std::string, std::size_t> prefill_count_in;
  for (const planned_engine& each : engines) {
    if (each.stage == engine_stage::kPrefill) ++prefill_count_in[each.data_centre];
  }
  const std::size_t deviation =
      prefill_count < wanted ? wanted - prefill_count : prefill_count - wanted;
  const bool more = prefill_count < wanted;
  const engine_stage from = more ? engine_stage::kDecode : engine_stage::kPrefill;
  const engine_stage to = more ? engine_stage::kPrefill : engine_stage::kDecode;

  std::vector<const planned_engine*> candidates;
  for (const planned_engine& each : engines) {
    if (each.stage == from && !each.keeps_stage) candidates.push_back(&each);
  }
  std::vector<stage_change> changes;
  while (changes.size() < deviation && !candidates.empty()) {
    const auto best =
        std::min_element(candidates.begin(), candidates.end(), [&](const auto* a, const auto* b) {
          const std::size_t in_a = prefill_count_in[a->data_centre];
          const std::size_t in_b = prefill_count_in[b->data_centre];
          if (in_a != in_b) return more ? in_a < in_b : in_a > in_b;
          if (a->running != b->running) return a->running < b->running;
          return a->id < b->id;
        });
    changes.push_back({(*best)->id, to});
    std::size_t& in_data_centre = prefill_count_in[(*best)->data_centre];
    in_data_centre = more ? in_data_centre + 1 : in_data_centre - 1;
    candidates.erase(best);
  }
  return changes;
}

}  // namespace hawthorndrum
