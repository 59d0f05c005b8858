/// Results of a load run.
#include "load_result.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace hawthorndrum {

namespace {

nlohmann::json QuantilesMs(const std::vector<duration>& values) {
  const auto milliseconds_at = [&](double share) {
    return static_cast<double>(Quantile(values, share).count()) / 1000.0;
  };
  return {{"count", values.size()},
          {"p50_ms", milliseconds_at(0.5)},
          {"p95_ms", milliseconds_at(0.95)},
          {"p99_ms", milliseconds_at(0.99)},
          {"max_ms", milliseconds_at(1.0)}};
}

}  // namespace

duration Quantile(std::vector<duration> values, double share) {
  if (values.empty()) return duration(0);
  const auto last = static_cast<double>(values.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(last * share);
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

nlohmann::json ToJson(const load_result& result) {
  nlohmann::json statuses = nlohmann::json::object();
  for (const auto& [status, count] : result.statuses) statuses[std::to_string(status)] = count;
  return {{"sent", result.sent},
          {"whole", result.whole},
          {"useful", result.useful},
          {"lost", result.lost},
          {"statuses", statuses},
          {"first_byte", QuantilesMs(result.first_byte)},
          {"total", QuantilesMs(result.total)},
          {"between_tokens", QuantilesMs(result.between_tokens)}};
}

}  // namespace hawthorndrum
