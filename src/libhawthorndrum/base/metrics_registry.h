/// All counters and histograms of a daemon, by name and labels.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/counter.h"
#include "base/latency_histogram.h"

namespace hawthorndrum {

/**
 * Creates counters and histograms on first use; references to them stay valid as long as the
 * registry. `labels` is empty or has the form `key="value",key="value"` (see MetricLabel).
 */
class metrics_registry {
 public:
  counter& Counter(std::string_view name, std::string_view labels = {});
  latency_histogram& Histogram(std::string_view name, std::string_view labels = {});

  /** Formats all metrics in the Prometheus text format. */
  std::string ToText() const;

 private:
  struct series_name {
    std::string name;
    std::string labels;
    friend bool operator<(const series_name& a, const series_name& b) {
      return a.name != b.name ? a.name < b.name : a.labels < b.labels;
    }
  };

  std::map<series_name, std::unique_ptr<counter>> counters_;
  std::map<series_name, std::unique_ptr<latency_histogram>> histograms_;
};

/** Formats a label as `key="value"`, with the value escaped. */
std::string MetricLabel(std::string_view key, std::string_view value);

}  // namespace hawthorndrum
