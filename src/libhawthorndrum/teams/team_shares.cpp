/// Levels of teams' work, from what all daemons report.
#include "teams/team_shares.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace hawthorndrum {

namespace {

constexpr duration kUpdatePeriod = milliseconds(100);
/** A wait of this many objectives shows that room may be short. */
constexpr double kShortWait = 0.05;
/** A request beyond its team's level may wait for as long as it is not late for it. */
constexpr double kWaitBeyondLevel = 1;
/** Room counts as short while less than this share of what is asked for is admitted. */
constexpr double kShortAdmitted = 0.95;
/** Room is taken for no less than this share of what is asked for, unless less is admitted. */
constexpr double kLeastRoom = 0.3;
/** Work that a team may be admitted for at once, as the time in which its share comes up. */
constexpr double kBurstSeconds = 0.1;
/** The own teams that are looked at one by one; the others are far below any level. */
constexpr std::size_t kMostOwn = 256;
constexpr duration kMinTime = milliseconds(250);
constexpr duration kMaxTime = seconds(5);

/** Returns the level at which the rates, cut off there, add up to the room. */
double LevelOf(std::vector<double> rates, double room) {
  std::sort(rates.begin(), rates.end());
  double left = room;
  for (std::size_t i = 0; i < rates.size(); ++i) {
    const double equal = left / static_cast<double>(rates.size() - i);
    if (rates[i] >= equal) return std::max(0.0, equal);
    left -= rates[i];
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace

void team_shares::Record(const team_place& place, double work, bool admitted, time_point now) {
  own_.Add(place, work, admitted, now);
}

std::vector<team_rate> team_shares::Report(time_point now) {
  std::vector<team_rate> report = own_.Heaviest(kMostReported, now);
  // Beyond that, what is asked of small services is left out.
  std::sort(report.begin(), report.end(),
            [](const team_rate& a, const team_rate& b) { return a.asked > b.asked; });
  if (report.size() > kMostRows) report.resize(kMostRows);
  return report;
}

void team_shares::OnReport(incarnation_id sender, std::vector<team_rate> report, time_point now) {
  peers_[sender] = {std::move(report), now};
}

void team_shares::Update(time_point now) {
  if (updated_at_ != time_point() && now - updated_at_ < kUpdatePeriod) return;
  updated_at_ = now;
  totals_.clear();
  const auto add = [this](const std::vector<team_rate>& rates) {
    for (const team_rate& each : rates) {
      total& sum = totals_[each.place];
      sum.asked += each.asked;
      sum.admitted += each.admitted;
    }
  };
  add(own_.Heaviest(kMostOwn, now));
  for (auto it = allowances_.begin(); it != allowances_.end();)
    it = now - it->second.at > kShortFor ? allowances_.erase(it) : std::next(it);
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.at > kReportExpiry) {
      it = peers_.erase(it);
      continue;
    }
    add(it->second.rates);
    ++it;
  }
  for (const auto& [service, state] : services_) SetLevels(service, now);
}

void team_shares::SetLevels(std::uint64_t service, time_point now) {
  service_state& state = services_[service];
  const double wait = std::exchange(state.longest_wait, 0);
  if (now >= state.short_until) return;
  double admitted = 0;
  double asked = 0;
  std::map<int, std::vector<double>> by_priority;
  std::map<int, double> rests;
  for (const auto& [place, sum] : totals_) {
    if (place.service != service) continue;
    admitted += sum.admitted;
    asked += sum.asked;
    if (place.team == 0) {
      rests[place.priority] += sum.asked;
    } else {
      by_priority[place.priority].push_back(sum.asked);
    }
  }
  if (admitted < kShortAdmitted * asked) state.short_until = now + kShortFor;
  // Queues that grow show that more is asked for than there is room, before anything is refused.
  const double room = std::min(admitted, std::max(kLeastRoom, kShortAdmitted - wait) * asked);
  double used = 0;
  for (auto& [priority, rates] : by_priority) {
    const double rest = rests[priority];
    const double own_room = std::max(room - used, kLeastShare * room);
    double wanted = rest;
    for (const double rate : rates) wanted += rate;
    const double level = LevelOf(rates, own_room - rest);
    used += std::min(wanted, own_room);
    for (auto& [place, sum] : totals_) {
      if (place.service == service && place.priority == priority) sum.level = level;
    }
  }
}

share_verdict team_shares::Judge(const team_place& place, double work, double wait_in_objectives,
                                 time_point now) {
  service_state& state = services_[place.service];
  state.longest_wait = std::max(state.longest_wait, wait_in_objectives);
  if (wait_in_objectives > kShortWait) {
    // Levels are needed at once when room becomes short.
    if (now >= state.short_until) updated_at_ = time_point();
    state.short_until = now + kShortFor;
  }
  if (now >= state.short_until) return share_verdict::kAdmitted;
  Update(now);
  const auto found = totals_.find(place);
  if (found == totals_.end() || found->second.asked <= found->second.level)
    return share_verdict::kAdmitted;
  // The same part of what the team asks for at each daemon.
  const double rate = found->second.level * own_.RateOf(place, now).asked / found->second.asked;
  allowance& left = allowances_[place];
  left.work += rate * std::min(1.0, ToSeconds(now - left.at));
  left.work = std::min(left.work, work + rate * kBurstSeconds);
  left.at = now;
  if (left.work < work && wait_in_objectives > kWaitBeyondLevel) return share_verdict::kRefused;
  left.work = std::max(0.0, left.work - work);
  return share_verdict::kBehindOthers;
}

bool team_shares::WasShort(time_point now) const {
  return std::any_of(services_.begin(), services_.end(), [now](const auto& entry) {
    return now < entry.second.short_until + kShortFor;
  });
}

duration team_shares::TimeToTurn(const team_place& place, time_point now) {
  Update(now);
  const auto found = totals_.find(place);
  if (found == totals_.end() || found->second.level == kNoLevel) return kMinTime;
  const double level = std::max(found->second.level, 1e-9);
  const double excess = std::log(std::max(1.0, found->second.asked / level));
  const double time = std::min(ToSeconds(kMaxTime), ToSeconds(team_rates::kMemory) * excess);
  return std::max<duration>(kMinTime, duration(static_cast<std::int64_t>(time * 1e6)));
}

}  // namespace hawthorndrum
