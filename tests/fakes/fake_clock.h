/// A clock that is advanced by the test.
#pragma once

#include "ports/clock.h"

namespace hawthorndrum {

class fake_clock : public clock {
 public:
  time_point Now() const override { return now_; }
  void Advance(duration d) { now_ += d; }

 private:
  time_point now_{seconds(1000)};
};

}  // namespace hawthorndrum
