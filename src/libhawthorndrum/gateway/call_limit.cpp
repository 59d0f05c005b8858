/// Divides a limit among daemons by their ranks.
#include "gateway/call_limit.h"

#include <algorithm>
#include <cmath>

namespace hawthorndrum {

namespace {

/** Share of the limit that the other daemons may send together while the upstream is idle. */
constexpr double kIdleShare = 0.25;
/** Seconds of its rate that a daemon may save up. */
constexpr double kBurstSeconds = 0.25;

duration Seconds(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

}  // namespace

void call_limit::Hear(std::optional<double> per_second, time_point said_at, time_point now) {
  if (said_at < said_at_) return;
  if (per_second) per_second = std::clamp(*per_second, kMinPerSecond, kMaxPerSecond);
  if (per_second && per_second_) {
    tokens_ = TokensAt(now);
  } else if (per_second) {
    // What was sent before it was heard has used up the first burst.
    tokens_ = 0;
  }
  counted_at_ = now;
  per_second_ = per_second;
  said_at_ = said_at;
  if (is_set()) tokens_ = std::min(tokens_, Burst());
}

void call_limit::SetRank(const caller_rank& rank, time_point now) {
  if (!is_set()) {
    rank_ = rank;
    return;
  }
  const bool sent_before = is_sender();
  tokens_ = TokensAt(now);
  counted_at_ = now;
  rank_ = rank;
  if (!sent_before) tokens_ = 0;
  tokens_ = std::min(tokens_, Burst());
}

std::size_t call_limit::Senders() const {
  const double limit = std::floor(per_second_.value_or(kMaxPerSecond));
  const std::size_t daemons = std::max<std::size_t>(1, rank_.daemons);
  return std::clamp<std::size_t>(static_cast<std::size_t>(limit), 1, daemons);
}

double call_limit::Rate() const {
  return kUsedShare * *per_second_ / static_cast<double>(Senders());
}

double call_limit::Burst() const { return std::max(1.0, Rate() * kBurstSeconds); }

double call_limit::TokensAt(time_point now) const {
  if (!is_sender()) return 0;
  return std::min(Burst(), tokens_ + Rate() * ToSeconds(now - counted_at_));
}

time_point call_limit::NextAt(time_point heard_at, time_point now) const {
  if (!is_set()) return now;
  if (!rank_.is_known()) return now + kIdleTime;
  if (is_sender()) {
    const double missing = 1 - TokensAt(now);
    return missing <= 0 ? now : now + Seconds(missing / Rate()) + duration(1);
  }
  const double turn = 1 / (kIdleShare * *per_second_);
  const auto place = static_cast<double>(rank_.before - Senders() + 1);
  const time_point idle = std::max(heard_at, said_at_) + kIdleTime + Seconds(turn * place);
  if (heard_at > taken_at_) return idle;
  // While it does not answer, each of the others sends once in a round of all.
  const double round = turn * static_cast<double>(rank_.daemons);
  return std::max(idle, taken_at_ + Seconds(round));
}

void call_limit::Take(time_point now) {
  if (!is_set()) return;
  tokens_ = std::max(0.0, TokensAt(now) - 1);
  counted_at_ = now;
  taken_at_ = now;
}

}  // namespace hawthorndrum
