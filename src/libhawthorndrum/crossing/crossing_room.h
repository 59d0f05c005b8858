/// The free capacity of a service in another data centre, as far as this daemon knows.
#pragma once

namespace hawthorndrum {

/** Invariant: `free` is at most `slots`. */
struct crossing_room {
  double slots = 0;
  double free = 0;
  /** Slots that this daemon's own calls use. */
  double own = 0;
};

}  // namespace hawthorndrum
