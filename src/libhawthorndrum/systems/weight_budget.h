/// Limits the rate at which one data centre loads from the weight store.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * Allows one load to begin per `pause`. Unused time does not accumulate, so that loads never come
 * in a burst.
 */
class weight_budget {
 public:
  explicit weight_budget(duration pause) : pause_(pause) {}

  bool MayLoad(time_point now) const { return now >= next_; }
  void NoteLoad(time_point now) { next_ = now + pause_; }

 private:
  duration pause_;
  time_point next_;
};

}  // namespace hawthorndrum
