/// Exponentially decayed sums of tokens.
#include "gateway/demand_meter.h"

#include <cmath>

namespace hawthorndrum {

namespace {

constexpr double kTimeConstantSeconds = 2.0;

}  // namespace

double demand_meter::DecayedTokens(const average& of, time_point now) {
  return of.tokens * std::exp(-ToSeconds(now - of.at) / kTimeConstantSeconds);
}

void demand_meter::AddPrefill(const std::string& service, std::uint64_t tokens, time_point now) {
  average& of = by_service_[service];
  of.tokens = DecayedTokens(of, now) + static_cast<double>(tokens);
  of.at = now;
}

std::uint64_t demand_meter::PrefillTokensPerSecond(const std::string& service,
                                                   time_point now) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return 0;
  return static_cast<std::uint64_t>(DecayedTokens(found->second, now) / kTimeConstantSeconds);
}

std::vector<reported_demand> demand_meter::Report(time_point now) const {
  std::vector<reported_demand> report;
  for (const auto& [service, of] : by_service_) {
    const std::uint64_t rate = PrefillTokensPerSecond(service, now);
    if (rate > 0) report.push_back({service, rate, 0, 0});
  }
  return report;
}

}  // namespace hawthorndrum
