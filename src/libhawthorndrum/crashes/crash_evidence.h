/// Which parts of prompts and which requests crash the upstreams that answer them.
#pragma once

#include <boost/core/span.hpp>

#include "base/units.h"
#include "crashes/suspect.h"

namespace hawthorndrum {

/** An upstream was lost while it had a call open. */
struct upstream_loss {
  upstream_id upstream;
  /** When the call was sent. */
  time_point sent_at;
  time_point at;
};

class crash_evidence {
 public:
  virtual ~crash_evidence() = default;

  /** Records that an upstream was lost before, or just after, it began to answer the suspects. */
  virtual void RecordLoss(boost::span<const suspect> suspects, const upstream_loss& loss,
                          time_point now) = 0;
  /** Records that an upstream began an answer at `begun_at` and lived on. */
  virtual void RecordSound(boost::span<const suspect> suspects, time_point begun_at,
                           time_point now) = 0;
  /** Returns the first of them that is convicted, if any; its conviction then stays for longer. */
  virtual suspect_id FindConvicted(boost::span<const suspect> suspects, time_point now) = 0;

  bool IsConvicted(boost::span<const suspect> suspects, time_point now) {
    return static_cast<bool>(FindConvicted(suspects, now));
  }
};

}  // namespace hawthorndrum
