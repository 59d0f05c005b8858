/// Which calls to the platform's API this daemon may make as the duty of one daemon at a time.
#pragma once

#include <string>

#include "base/units.h"

namespace hawthorndrum {

struct duty_settings {
  /** `ip:port` of the platform's API; without it no duty is taken. */
  std::string platform_address;
  /** Whether usage is reported. */
  bool usage = false;
  /** Whether upstreams are ordered. */
  bool ordering = false;
  /** The calls that the platform accepts from all daemons together. */
  double calls_per_second = 10;
  /** The length of a window of usage. */
  duration usage_window = seconds(5);
  /** A window is reported within this time after its end. */
  duration usage_lateness = seconds(10);

  bool reports_usage() const { return usage && !platform_address.empty(); }
  bool orders_upstreams() const { return ordering && !platform_address.empty(); }
};

}  // namespace hawthorndrum
