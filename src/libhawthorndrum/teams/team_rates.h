/// The rates of work that teams ask for and get at one daemon.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** Whose work it is: teams share the room of a service with others of their priority. */
struct team_place {
  std::uint64_t service = 0;
  /** 0 is the most urgent. */
  int priority = 0;
  /** 0 stands for several teams together. */
  std::uint64_t team = 0;

  friend bool operator==(const team_place& a, const team_place& b) {
    return a.service == b.service && a.priority == b.priority && a.team == b.team;
  }
};

struct team_place_hash {
  std::size_t operator()(const team_place& place) const {
    return place.team ^ (place.service * 31) ^ static_cast<std::size_t>(place.priority);
  }
};

/** Work per second, in a unit that is the same for all teams of a service. */
struct team_rate {
  team_place place;
  double asked = 0;
  double admitted = 0;
};

/**
 * Moving averages. Teams of which little is left are forgotten, so that the memory follows the
 * number of teams that are active.
 */
class team_rates {
 public:
  /** The time constant; shorter bursts are no reason to refuse a team. */
  static constexpr duration kMemory = seconds(2);

  void Add(const team_place& place, double work, bool admitted, time_point now);
  team_rate RateOf(const team_place& place, time_point now);
  std::vector<team_rate> All(time_point now);
  /** Returns the `most` teams that ask for most, and of each service and priority the rest. */
  std::vector<team_rate> Heaviest(std::size_t most, time_point now);
  std::size_t size() const { return rows_.size(); }

 private:
  /** Sums, decayed to `at`. */
  struct row {
    double asked = 0;
    double admitted = 0;
    time_point at;
  };
  static void Decay(row& each, time_point now);

  std::unordered_map<team_place, row, team_place_hash> rows_;
};

}  // namespace hawthorndrum
