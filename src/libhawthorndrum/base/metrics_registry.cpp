/// Finding series and writing them out.
#include "base/metrics_registry.h"

#include <sstream>

namespace hawthorndrum {

namespace {

std::string Braced(const std::string& labels, const std::string& more = {}) {
  if (labels.empty() && more.empty()) return {};
  if (labels.empty() || more.empty()) return "{" + labels + more + "}";
  return "{" + labels + "," + more + "}";
}

}  // namespace

counter& metrics_registry::Counter(std::string_view name, std::string_view labels) {
  auto& place = counters_[{std::string(name), std::string(labels)}];
  if (!place) place = std::make_unique<counter>();
  return *place;
}

latency_histogram& metrics_registry::Histogram(std::string_view name, std::string_view labels) {
  auto& place = histograms_[{std::string(name), std::string(labels)}];
  if (!place) place = std::make_unique<latency_histogram>();
  return *place;
}

std::string metrics_registry::ToText() const {
  std::ostringstream text;
  for (const auto& [series, value] : counters_) {
    text << series.name << Braced(series.labels) << " " << value->value() << "\n";
  }
  for (const auto& [series, value] : histograms_) {
    for (const histogram_bin& bin : value->Bins()) {
      const std::string limit = MetricLabel("le", std::to_string(bin.upper_seconds));
      text << series.name << "_bucket" << Braced(series.labels, limit) << " " << bin.cumulative
           << "\n";
    }
    text << series.name << "_bucket" << Braced(series.labels, MetricLabel("le", "+Inf")) << " "
         << value->count() << "\n";
    text << series.name << "_sum" << Braced(series.labels) << " " << ToSeconds(value->sum())
         << "\n";
    text << series.name << "_count" << Braced(series.labels) << " " << value->count() << "\n";
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
