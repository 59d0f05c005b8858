/// The share of the weight store's rate that one data centre may use.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * Lets one load begin each `pause`. Unused time is not saved up, so that loads never come at once.
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
