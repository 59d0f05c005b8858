/// Counts the requests that leave the data centre, and the bytes that they move.
#include "crossing/crossing_meter.h"

#include "base/metrics_registry.h"

namespace hawthorndrum {

namespace {

constexpr double kSizeWeight = 0.1;

}  // namespace

void crossing_meter::OnLeft(const std::string& service, crossing_reason reason) {
  const std::string labels =
      MetricLabel("service", service) + "," + MetricLabel("reason", NameOf(reason));
  metrics_.Counter("gateway_left_data_centre_total", labels).Add();
}

void crossing_meter::OnBytes(const std::string& service, std::uint64_t bytes) {
  metrics_.Counter("gateway_left_data_centre_bytes_total", MetricLabel("service", service))
      .Add(bytes);
}

void crossing_meter::OnAnswer(const std::string& route, std::uint64_t bytes) {
  const auto size = static_cast<double>(bytes);
  const auto [found, added] = answer_bytes_.try_emplace(route, size);
  if (!added) found->second += kSizeWeight * (size - found->second);
}

double crossing_meter::AnswerBytes(const std::string& route) const {
  const auto found = answer_bytes_.find(route);
  return found == answer_bytes_.end() ? 0 : found->second;
}

}  // namespace hawthorndrum
