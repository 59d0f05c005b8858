/// Sends spans to a collector by OTLP over HTTP with JSON.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "ports/trace_sink.h"

namespace hawthorndrum {

class clock;
class counter;
class metrics_registry;
class whole_calls;

/**
 * Collects the spans of a share of all traces and sends them together. The trace's id decides, so
 * that every daemon keeps the same traces. Spans over the bound are dropped and counted; without a
 * collector's address all are dropped.
 */
class otlp_exporter : public trace_sink {
 public:
  otlp_exporter(boost::asio::io_context& io, whole_calls& calls, const clock& time,
                metrics_registry& metrics, std::string address, std::string instance, double share);

  void Start();
  void Record(trace_span span) override;
  /** Sends what is collected now. */
  void Flush();
  bool sending() const { return sending_; }

 private:
  void Wait();
  bool IsKept(const trace_span& span) const;
  std::string Body() const;
  std::uint64_t UnixNanoseconds(time_point time) const;

  boost::asio::steady_timer timer_;
  whole_calls& calls_;
  const clock& clock_;
  counter& dropped_;
  counter& sent_;
  std::string address_;
  std::string instance_;
  double share_;
  std::vector<trace_span> spans_;
  bool sending_ = false;
};

}  // namespace hawthorndrum
