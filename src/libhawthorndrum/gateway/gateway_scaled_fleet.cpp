/// Counts upstreams and their load.
#include "gateway/gateway_scaled_fleet.h"

#include <algorithm>
#include <map>

#include "gateway/gateway.h"
#include "gateway/gateway_config.h"

namespace hawthorndrum {

namespace {

/** Requests that wait for slots count up to this many times the slots. */
constexpr double kMaxOccupied = 1.5;

}  // namespace

std::vector<scaled_service> gateway_scaled_fleet::Services(time_point now) {
  std::vector<scaled_service> services;
  const auto config = gateway_.config();
  if (!config) return services;
  for (const gateway_service& from : config->services) {
    if (!from.scale) continue;
    scaled_service service;
    service.name = from.name;
    service.limits = *from.scale;
    std::map<std::string, centre_counts> centres;
    for (const fleet_upstream* row : gateway_.fleet().OfService(from.name)) {
      centre_counts& centre = centres[row->entry.data_centre];
      const auto running = static_cast<double>(row->all_work().running);
      if (row->entry.stage == engine_stage::kPrefill) {
        // It reads prompts one after the other, so one keeps it busy. How busy engines are is
        // known better than how fast they read.
        service.load.prefill += std::min(running, 1.0);
      } else {
        const double slots = std::max<std::uint32_t>(1, row->entry.slots);
        service.load.running += std::min(running / slots, kMaxOccupied);
      }
      if (!row->takes_work(now)) continue;
      ++(row->entry.reclaimable ? centre.reclaimable : centre.lasting);
    }
    for (auto& [name, centre] : centres) {
      centre.name = name;
      service.centres.push_back(std::move(centre));
    }
    services.push_back(std::move(service));
  }
  return services;
}

bool gateway_scaled_fleet::IsComplete(time_point) const {
  return gateway_.is_ready() && !gateway_.is_cut_off();
}

}  // namespace hawthorndrum
