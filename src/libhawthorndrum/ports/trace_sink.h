/// The port through which the core exports trace spans.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

struct span_attribute {
  std::string key;
  std::string value;
};

/**
 * One hop of a request. Ids are those of W3C Trace Context; times are by this daemon's own clock.
 */
struct trace_span {
  std::uint64_t trace_high = 0;
  std::uint64_t trace_low = 0;
  std::uint64_t span = 0;
  std::uint64_t parent = 0;
  std::string name;
  time_point start;
  time_point end;
  std::vector<span_attribute> attributes;
};

class trace_sink {
 public:
  virtual ~trace_sink() = default;
  virtual void Record(trace_span span) = 0;
};

}  // namespace hawthorndrum
