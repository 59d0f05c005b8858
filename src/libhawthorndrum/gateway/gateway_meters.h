/// The gateway's metrics of one route.
#pragma once

#include <string>
#include <string_view>

#include "base/metrics_registry.h"
#include "gateway/gateway.h"

namespace hawthorndrum {

/**
 * Handles into the metrics registry, looked up once per route.
 */
struct gateway::route_meters {
  route_meters(metrics_registry& registry, std::string_view route)
      : metrics(registry),
        label(MetricLabel("route", route)),
        requests(registry.Counter("gateway_requests_total", label)),
        first_byte(registry.Histogram("gateway_first_byte_seconds", label)),
        answer_time(registry.Histogram("gateway_answer_seconds", label)) {}

  void RecordEnd(std::string_view outcome, duration taken) {
    metrics.Counter("gateway_ended_total", label + "," + MetricLabel("outcome", outcome)).Add();
    answer_time.Record(taken);
  }

  metrics_registry& metrics;
  std::string label;
  counter& requests;
  latency_histogram& first_byte;
  latency_histogram& answer_time;
};

}  // namespace hawthorndrum
