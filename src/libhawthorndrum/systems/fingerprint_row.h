/// A row of the fingerprint table: what is held against requests of one fingerprint.
#pragma once

#include <cstdint>
#include <vector>

#include "base/table.h"
#include "base/units.h"
#include "systems/crash_event.h"

namespace hawthorndrum {

/**
 * One loss. `alone`: no other request shared the upstream, so it speaks against this one only.
 */
struct strike {
  crash_event event;
  bool alone = false;
  time_point seen;
};

/** Without strikes a row does not exist; two strikes convict. */
struct fingerprint_row {
  std::uint64_t id = 0;
  std::vector<strike> strikes;
  /** Set while it is convicted. */
  time_point convicted_until;
  time_point changed;
};

using fingerprint_table = table<std::uint64_t, fingerprint_row>;

}  // namespace hawthorndrum
