/// The port for reading objects from the platform's store.
#pragma once

#include <cstdint>
#include <string>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Starts calls, each under a number that the watch assigns. Their results are reported to the
 * object_watch of that kind, never before List or Watch has returned.
 */
class object_reader {
 public:
  virtual ~object_reader() = default;
  /** Requests the objects whose names sort after `after`. */
  virtual void List(const std::string& kind, const std::string& after, std::uint64_t call) = 0;
  /** Requests the changes after `revision`; the store answers after `wait` if there are none. */
  virtual void Watch(const std::string& kind, std::uint64_t revision, duration wait,
                     std::uint64_t call) = 0;
};

}  // namespace hawthorndrum
