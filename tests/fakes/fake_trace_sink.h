/// A trace sink that records the spans.
#pragma once

#include <vector>

#include "ports/trace_sink.h"

namespace hawthorndrum {

class fake_trace_sink : public trace_sink {
 public:
  void Record(trace_span span) override { spans.push_back(std::move(span)); }

  std::vector<trace_span> spans;
};

}  // namespace hawthorndrum
