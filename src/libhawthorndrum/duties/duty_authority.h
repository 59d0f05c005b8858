/// Tells whether this daemon may perform a duty now.
#pragma once

#include <optional>

#include "base/units.h"
#include "duties/duty_terms.h"

namespace hawthorndrum {

/**
 * A duty is a series of calls to the platform that one daemon at a time makes.
 */
class duty_authority {
 public:
  virtual ~duty_authority() = default;

  /**
   * Returns the terms for a call that is made now; nothing while another daemon may be the holder,
   * or while calls of the former holder may still be on their way.
   */
  virtual std::optional<duty_terms> TermsFor(time_point now) const = 0;
};

}  // namespace hawthorndrum
