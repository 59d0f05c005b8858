/// The rate at which one daemon sends requests to free slots of another data centre.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

class random_source;

/**
 * A token bucket whose rate follows the free slots there. After a pause a level
 * below one request is drawn at random, so that many senders that see the same free slots do not
 * use them at the same moment.
 *
 * Invariant: the level is at most max(1, slots of this sender).
 */
class crossing_share {
 public:
  /**
   * Takes one request. `slots` is the number of requests that this daemon may keep open there, and
   * `call_time` how long one takes.
   */
  bool Take(double slots, duration call_time, random_source& random, time_point now);

 private:
  double level_ = 0;
  time_point updated_;
  bool started_ = false;
};

}  // namespace hawthorndrum
