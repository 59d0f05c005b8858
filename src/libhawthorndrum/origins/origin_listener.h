/// Receives the results of questions about origins.
#pragma once

#include <optional>

#include "origins/stream_origin.h"

namespace hawthorndrum {

class origin_listener {
 public:
  virtual ~origin_listener() = default;

  /** Called once for each question; without a build if no daemon that answered knows the stream. */
  virtual void OnOrigin(stream_key key, std::optional<software_build> build) = 0;
};

}  // namespace hawthorndrum
