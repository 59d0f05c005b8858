/// The event lists: 20 engines, about nine tenths of them busy at the right split.
#include <algorithm>
#include <cmath>

#include "mix_events.h"

namespace hawthorndrum {
namespace {

constexpr int kMinute = 60;
constexpr int kHour = 3600;
constexpr double kBusyEngines = 16.5;

/** Pseudo-random numbers in [-1, 1), the same on every run. */
class noise {
 public:
  double Next() {
    state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(state_ >> 33) / static_cast<double>(1ULL << 30) - 1;
  }

 private:
  std::uint64_t state_ = 20261203;
};

/** A case whose share of prefill work at second t is `share(t)`, with 10% noise. */
template <typename Share>
mix_case MakeCase(std::string name, int length, int shifts, Share share) {
  mix_case made;
  made.name = std::move(name);
  made.shifts = shifts;
  noise noise;
  for (int t = 0; t < length; ++t) {
    const double load = kBusyEngines * (1 + 0.1 * noise.Next());
    const double part = std::clamp(share(t) * (1 + 0.1 * noise.Next()), 0.02, 0.98);
    mix_event event;
    event.demand.prefill = load * part * kPrefillRate;
    event.demand.decode = load * (1 - part) * kDecodeRate;
    made.events.push_back(event);
  }
  return made;
}

double Alternate(int t, int half, double low, double high) {
  return (t / half) % 2 == 0 ? low : high;
}

}  // namespace

mix_case AlternatingCase(int half_period) {
  return MakeCase("flap", 2 * kHour, 0, [=](int t) { return Alternate(t, half_period, 0.3, 0.5); });
}

std::vector<mix_case> MixCases(const role_prices& prices) {
  constexpr double kTurn = 2 * M_PI;
  std::vector<mix_case> cases;
  cases.push_back(MakeCase("steady", 2 * kHour, 0, [](int) { return 0.4; }));
  cases.push_back(MakeCase("step", 2 * kHour, 1, [](int t) { return t < kHour ? 0.4 : 0.6; }));
  cases.push_back(MakeCase("half-day swing", 24 * kHour, 4, [=](int t) {
    return 0.4 * (1 + 0.5 * std::sin(kTurn * t / (12.0 * kHour)));
  }));
  cases.push_back(MakeCase("swings of 10 minutes", 2 * kHour, 12,
                           [](int t) { return Alternate(t, 10 * kMinute, 0.3, 0.5); }));
  cases.push_back(MakeCase("swings of 30 minutes", 3 * kHour, 6,
                           [](int t) { return Alternate(t, 30 * kMinute, 0.3, 0.5); }));
  // A change gains at most about two and a half engines' work, so at half periods well below the
  // price divided by that it never pays.
  const int fast = std::max(2, static_cast<int>(prices.per_change() / 6));
  cases.push_back(
      MakeCase("fast flapping", kHour, 0, [=](int t) { return Alternate(t, fast, 0.3, 0.5); }));
  cases.back().too_fast = true;
  cases.push_back(MakeCase("burst of long catalogues", kHour, 2, [](int t) {
    return t >= 20 * kMinute && t < 25 * kMinute ? 0.7 : 0.4;
  }));
  cases.push_back(MakeCase("engines lost in a shift", 2 * kHour, 2, [](int t) {
    return 0.35 + 0.25 * std::clamp((t - kHour) / (20.0 * kMinute), 0.0, 1.0);
  }));
  for (std::size_t t = kHour + 5 * kMinute; t < cases.back().events.size(); ++t) {
    cases.back().events[t].engines = 17;
  }
  return cases;
}

}  // namespace hawthorndrum
