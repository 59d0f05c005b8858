/// Moving averages of teams' work.
#include "teams/team_rates.h"

#include <algorithm>
#include <cmath>

namespace hawthorndrum {

namespace {

/** A team is forgotten when less than this share of one request's work is left. */
constexpr double kForgotten = 0.01;

}  // namespace

void team_rates::Decay(row& each, time_point now) {
  const double factor = std::exp(-ToSeconds(now - each.at) / ToSeconds(kMemory));
  each.asked *= factor;
  each.admitted *= factor;
  each.at = now;
}

void team_rates::Add(const team_place& place, double work, bool admitted, time_point now) {
  row& each = rows_[place];
  Decay(each, now);
  each.asked += work;
  if (admitted) each.admitted += work;
}

team_rate team_rates::RateOf(const team_place& place, time_point now) {
  const auto found = rows_.find(place);
  if (found == rows_.end()) return {place, 0, 0};
  Decay(found->second, now);
  const double seconds = ToSeconds(kMemory);
  return {place, found->second.asked / seconds, found->second.admitted / seconds};
}

std::vector<team_rate> team_rates::All(time_point now) {
  std::vector<team_rate> rates;
  rates.reserve(rows_.size());
  for (auto it = rows_.begin(); it != rows_.end();) {
    Decay(it->second, now);
    if (it->second.asked < kForgotten) {
      it = rows_.erase(it);
      continue;
    }
    const double seconds = ToSeconds(kMemory);
    rates.push_back({it->first, it->second.asked / seconds, it->second.admitted / seconds});
    ++it;
  }
  return rates;
}

std::vector<team_rate> team_rates::Heaviest(std::size_t most, time_point now) {
  std::vector<team_rate> rates = All(now);
  if (rates.size() <= most) return rates;
  std::nth_element(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(most), rates.end(),
                   [](const team_rate& a, const team_rate& b) { return a.asked > b.asked; });
  std::unordered_map<team_place, team_rate, team_place_hash> rests;
  for (std::size_t i = most; i < rates.size(); ++i) {
    const team_place place{rates[i].place.service, rates[i].place.priority, 0};
    team_rate& rest = rests[place];
    rest.place = place;
    rest.asked += rates[i].asked;
    rest.admitted += rates[i].admitted;
  }
  rates.resize(most);
  for (const auto& [place, rest] : rests) rates.push_back(rest);
  return rates;
}

}  // namespace hawthorndrum
