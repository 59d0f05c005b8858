/// On which terms a call to the platform's API is made.
#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/** The authority under which a duty is performed. */
struct duty_terms {
  /** The fencing token of the lease. */
  lease_term term;
  /** The call must not be sent after this time, when the lease may have another holder. */
  time_point send_by;
};

}  // namespace hawthorndrum
