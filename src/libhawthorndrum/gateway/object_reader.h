/// The port through which objects of the platform's store are read.
#pragma once

#include <cstdint>
#include <string>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Starts calls, each with the watch's number for it; their objects and outcomes come back by the
 * object_watch of that kind. Never calls back from within.
 */
class object_reader {
 public:
  virtual ~object_reader() = default;
  /** Asks for the objects whose names follow `after`. */
  virtual void List(const std::string& kind, const std::string& after, std::uint64_t call) = 0;
  /** Asks for the changes after `revision`; the store answers after `wait` without any. */
  virtual void Watch(const std::string& kind, std::uint64_t revision, duration wait,
                     std::uint64_t call) = 0;
};

}  // namespace hawthorndrum
