/// Random numbers from the operating system.
#pragma once

#include "ports/random_source.h"

namespace hawthorndrum {

class system_random : public random_source {
 public:
  std::uint64_t Draw() override;
};

}  // namespace hawthorndrum
