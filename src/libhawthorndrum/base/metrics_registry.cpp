/// Looks up metrics and formats them.
#include "base/metrics_registry.h"

#include <sstream>

namespace hawthorndrum {

namespace {

std::string FormatLabels(const std::string& labels, const std::string& extra_label = {}) {
  if (labels.empty() && extra_label.empty()) return {};
  if (labels.empty() || extra_label.empty()) return "{" + labels + extra_label + "}";
  return "{" + labels + "," + extra_label + "}";
}

}  // namespace

counter& metrics_registry::Counter(std::string_view name, std::string_view labels) {
  auto& entry = counters_[{std::string(name), std::string(labels)}];
  if (!entry) entry = std::make_unique<counter>();
  return *entry;
}

latency_histogram& metrics_registry::Histogram(std::string_view name, std::string_view labels) {
  auto& entry = histograms_[{std::string(name), std::string(labels)}];
  if (!entry) entry = std::make_unique<latency_histogram>();
  return *entry;
}

std::string metrics_registry::ToText() const {
  std::ostringstream text;
  for (const auto& [series, value] : counters_) {
    text << series.name << FormatLabels(series.labels) << " " << value->value() << "\n";
  }
  for (const auto& [series, value] : histograms_) {
    for (const histogram_bin& bin : value->Bins()) {
      const std::string limit = MetricLabel("le", std::to_string(bin.upper_seconds));
      text << series.name << "_bucket" << FormatLabels(series.labels, limit) << " "
           << bin.cumulative << "\n";
    }
    text << series.name << "_bucket" << FormatLabels(series.labels, MetricLabel("le", "+Inf"))
         << " " << value->count() << "\n";
    text << series.name << "_sum" << FormatLabels(series.labels) << " " << ToSeconds(value->sum())
         << "\n";
    text << series.name << "_count" << FormatLabels(series.labels) << " " << value->count() << "\n";
  }
  return text.str();
}

std::string MetricLabel(std::string_view key, std::string_view value) {
  std::string text(key);
  text += "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    text += c;
  }
  return text + "\"";
}

}  // namespace hawthorndrum
