/// A row of the fingerprint table: the strikes against requests with one fingerprint.
#pragma once

#include <cstdint>
#include <vector>

#include "base/table.h"
#include "base/units.h"
#include "systems/crash_event.h"

namespace hawthorndrum {

/**
 * One loss of an upstream. `alone`: the request had the upstream to itself, so no other request can
 * be the cause.
 */
struct strike {
  crash_event event;
  bool alone = false;
  time_point seen;
};

/** A row exists only while it has strikes. Two strikes, or one that is `alone`, convict. */
struct fingerprint_row {
  std::uint64_t id = 0;
  std::vector<strike> strikes;
  /** Set while the fingerprint is convicted. */
  time_point convicted_until;
  time_point changed;
};

using fingerprint_table = table<std::uint64_t, fingerprint_row>;

}  // namespace hawthorndrum
