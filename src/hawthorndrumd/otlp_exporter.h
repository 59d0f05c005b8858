/// Exports spans to a collector with OTLP over HTTP, encoded as JSON.
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
class buffered_calls;

/**
 * Samples a fixed ratio of traces and sends their spans in batches. The trace id decides whether a
 * trace is sampled, so every daemon samples the same traces. Spans that exceed the buffer or that
 * the collector does not accept are dropped and counted; without a collector's address all spans
 * are dropped, uncounted.
 */
class otlp_exporter : public trace_sink {
 public:
  otlp_exporter(boost::asio::io_context& io, buffered_calls& calls, const clock& time,
                metrics_registry& metrics, std::string address, std::string instance,
                double sampling_ratio);

  void Start();
  void Record(trace_span span) override;
  /** Sends the buffered spans now, unless a batch is being sent. */
  void Flush();
  bool sending() const { return sending_; }

 private:
  void ScheduleFlush();
  bool IsSampled(const trace_span& span) const;
  std::string Body() const;
  std::uint64_t UnixNanoseconds(time_point time) const;

  boost::asio::steady_timer timer_;
  buffered_calls& calls_;
  const clock& clock_;
  counter& dropped_;
  counter& sent_;
  std::string address_;
  std::string instance_;
  double sampling_ratio_;
  std::vector<trace_span> spans_;
  bool sending_ = false;
};

}  // namespace hawthorndrum
