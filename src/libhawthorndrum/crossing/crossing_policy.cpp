/// Decides when a request leaves its data centre, and how many may.
#include "crossing/crossing_policy.h"

#include <algorithm>

#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

constexpr double kBytesPerMegabyte = 1e6;
constexpr double kBytesPerGigabyte = 1e9;
/** A round trip, until connections have shown the link's delay. */
constexpr double kAssumedDelayMs = 2;
constexpr double kConnectWeight = 0.1;
constexpr double kLongestConnectMs = 1000;
/** Share of a data centre's slots that is kept free for its own callers. */
constexpr double kReserve = 0.15;
/** A call is bad if it took this many times the usual ratio of near calls, and longer by this. */
constexpr double kBadRatio = 2;
constexpr duration kBadBeyond = milliseconds(50);

}  // namespace

crossing_policy::crossing_policy(crossing_terms terms, std::string own_data_centre,
                                 random_source& random)
    : terms_(terms), own_data_centre_(std::move(own_data_centre)), random_(random) {}

double crossing_policy::PriceMs(double bytes) const {
  return std::min(kMaxPriceMs, terms_.ms_per_megabyte * bytes / kBytesPerMegabyte);
}

double crossing_policy::KvPriceMs(double bytes) const {
  return std::min(kMaxPriceMs, terms_.ms_per_kv_gigabyte * bytes / kBytesPerGigabyte);
}

std::size_t crossing_policy::SendersTo(const std::string& data_centre) const {
  std::size_t senders = 0;
  for (const auto& [each, count] : daemons_) {
    if (each != data_centre) senders += count;
  }
  return std::max<std::size_t>(1, senders);
}

const link_results* crossing_policy::ResultsOf(const std::string& service,
                                               const std::string& data_centre) const {
  const auto found = results_.find({service, data_centre});
  return found == results_.end() ? nullptr : &found->second;
}

double crossing_policy::DelayMs(const std::string& data_centre) const {
  if (IsNear(data_centre)) return 0;
  const auto there = connect_ms_.find(data_centre);
  const auto here = connect_ms_.find(own_data_centre_);
  if (there == connect_ms_.end() || here == connect_ms_.end()) return kAssumedDelayMs;
  return std::max(0.0, there->second - here->second);
}

void crossing_policy::OnConnected(const std::string& data_centre, duration taken) {
  const double taken_ms = std::min(kLongestConnectMs, ToSeconds(taken) * 1000);
  const auto [known, added] = connect_ms_.try_emplace(data_centre, taken_ms);
  if (!added) known->second += kConnectWeight * (taken_ms - known->second);
}

double crossing_policy::LatenessMs(const std::string& service,
                                   const std::string& data_centre) const {
  const link_results* there = ResultsOf(service, data_centre);
  const link_results* here = ResultsOf(service, own_data_centre_);
  if (there == nullptr) return 0;
  return std::max(0.0, there->LatenessMs() - (here == nullptr ? 0 : here->LatenessMs()));
}

bool crossing_policy::Pays(double won_ms, double bytes, const std::string& service,
                           const std::string& data_centre) const {
  const double longer_ms = std::max(DelayMs(data_centre), LatenessMs(service, data_centre));
  return won_ms > PriceMs(bytes) + longer_ms;
}

double crossing_policy::Trust(const std::string& service, const std::string& data_centre,
                              time_point now) const {
  const link_results* there = ResultsOf(service, data_centre);
  return there == nullptr ? 1 : there->Trust(now);
}

duration crossing_policy::UsualTime(const std::string& service,
                                    const std::string& data_centre) const {
  const link_results* there = ResultsOf(service, data_centre);
  return there == nullptr ? link_results().CallTime() : there->CallTime();
}

double crossing_policy::SlotsFor(const std::string& service, const std::string& data_centre,
                                 const crossing_room& room, time_point now) const {
  if (room.slots <= 0 || room.free <= 0 || daemons_.empty()) return 0;
  const double trust = Trust(service, data_centre, now);
  const auto senders = static_cast<double>(SendersTo(data_centre));
  // The other senders use about as much as this one; all divide what the neighbour leaves them.
  const double left = std::min(room.slots, room.free + room.own * senders);
  const double reserve = kReserve * room.slots;
  // Where the reserve itself is in use, its own callers need the slots.
  const double yielding = std::min(1.0, room.free / reserve);
  return trust * yielding * std::max(0.0, left - reserve) / senders;
}

bool crossing_policy::TakeTurn(const std::string& service, const std::string& data_centre,
                               const crossing_room& room, time_point now) {
  const double slots = SlotsFor(service, data_centre, room, now);
  const duration call_time = UsualTime(service, data_centre);
  return shares_[{service, data_centre}].Take(slots, call_time, random_, now);
}

void crossing_policy::OnAnswer(const std::string& service, const std::string& data_centre,
                               duration expected, duration taken, time_point now) {
  link_results& there = results_[{service, data_centre}];
  there.OnAnswer(expected, taken);
  if (IsNear(data_centre)) return;
  const link_results* here = ResultsOf(service, own_data_centre_);
  const double usual = here == nullptr ? 1 : std::max(1.0, here->Ratio());
  const double limit = kBadRatio * usual * ToSeconds(expected) + ToSeconds(kBadBeyond);
  there.Judge(ToSeconds(taken) > limit, now);
}

void crossing_policy::OnFailure(const std::string& service, const std::string& data_centre,
                                time_point now) {
  if (!IsNear(data_centre)) results_[{service, data_centre}].Judge(true, now);
}

}  // namespace hawthorndrum
