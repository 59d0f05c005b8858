/// The limit that an upstream names on the requests that it takes from all daemons together.
#pragma once

#include <cstddef>
#include <optional>

#include "base/units.h"

namespace hawthorndrum {

/** A daemon's place among those that may call a limited upstream. */
struct caller_rank {
  /** Number of daemons that rank before this one; the same at every daemon. */
  std::size_t before = 0;
  /** 0 while the daemons are not known. */
  std::size_t daemons = 1;

  bool is_known() const { return daemons > 0; }
};

/**
 * The limit holds for the sum over all daemons, so each takes a part that adds up without messages.
 * As many daemons as the limit has requests a second, the first by rank, send at equal rates; with
 * more of them, their first requests alone would exceed it. The others send only when nobody has
 * heard of the upstream for a while, one after another, so that it is not left idle when the first
 * ones are gone or have no requests. A daemon that does not know the others yet sends nothing.
 *
 * Invariant: `tokens_` is at most Burst().
 */
class call_limit {
 public:
  static constexpr double kMinPerSecond = 0.1;
  static constexpr double kMaxPerSecond = 1e6;
  /** Share of the limit that is sent; lists of daemons differ for a while after changes. */
  static constexpr double kUsedShare = 0.9;
  /** Silence after which the other daemons may send. */
  static constexpr duration kIdleTime = seconds(2);

  /** Heeds the limit, or its end if there is none, unless something later has been heard. */
  void Hear(std::optional<double> per_second, time_point said_at, time_point now);
  void SetRank(const caller_rank& rank, time_point now);

  bool is_set() const { return per_second_.has_value(); }
  std::optional<double> per_second() const { return per_second_; }
  /** When the upstream named the limit, or answered without one after it. */
  time_point said_at() const { return said_at_; }

  /** Whether a call may be sent now; `heard_at` is when any daemon last heard of the upstream. */
  bool Allows(time_point heard_at, time_point now) const { return NextAt(heard_at, now) <= now; }
  /** Returns when the next call may be sent. */
  time_point NextAt(time_point heard_at, time_point now) const;
  /** Counts a call. */
  void Take(time_point now);

 private:
  bool is_sender() const { return rank_.is_known() && rank_.before < Senders(); }
  std::size_t Senders() const;
  /** This daemon's rate, if it is one of the first. */
  double Rate() const;
  double Burst() const;
  double TokensAt(time_point now) const;

  std::optional<double> per_second_;
  time_point said_at_;
  caller_rank rank_;
  double tokens_ = 0;
  time_point counted_at_;
  time_point taken_at_;
};

}  // namespace hawthorndrum
