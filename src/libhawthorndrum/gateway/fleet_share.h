/// This daemon's part of a bound on the sum over all daemons.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

struct daemon_record;

/**
 * The parts of all daemons add up to at most one in any period of length `window`, without messages
 * between them:
 * - A daemon has no part until the others have had time to list it. By then what its host used
 *   before a restart is out of the window too.
 * - A daemon has no part while its list is old, since others may have joined.
 * - Daemons that have left are counted until what they used is out of the window.
 */
class fleet_share {
 public:
  /** A list of daemons that was read longer ago is too old; several times the reading period. */
  static constexpr duration kMaxListAge = seconds(15);

  explicit fleet_share(duration window) : window_(window) {}

  /**
   * Replaces the list of daemons. `lists_this` is whether this daemon is in it, and `read_at` when
   * it was asked for.
   */
  void OnListed(const std::vector<daemon_record>& others, bool lists_this, time_point read_at);
  /** Returns this daemon's part of the bound, from 0 to 1. */
  double At(time_point now) const;
  /** Returns the number of daemons that may use a part, this one included. */
  std::size_t daemons() const { return missing_since_.size() + 1; }

 private:
  /** How long what a daemon has used matters after it was last listed, or before it was. */
  duration Retention() const { return window_ + kMaxListAge; }

  duration window_;
  /** The other daemons that count; those that are not listed any more, with the first such list. */
  std::map<std::string, std::optional<time_point>> missing_since_;
  /** Since when all lists have named this daemon. */
  std::optional<time_point> listed_since_;
  time_point read_at_;
};

}  // namespace hawthorndrum
