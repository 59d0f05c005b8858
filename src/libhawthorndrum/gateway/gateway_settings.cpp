/// Reads the gateway's settings from YAML.
#include "gateway/gateway_settings.h"

#include <algorithm>

#include "base/yaml_fields.h"
#include "base/yaml_parser.h"

namespace hawthorndrum {

namespace {

void ReadRetries(yaml_fields& parent, retry_limits& target, findings& found) {
  const yaml_node* node = parent.Child("retries");
  if (node == nullptr) return;
  yaml_fields fields(*node, found);
  if (!fields.valid()) return;
  fields.Number("ratio", target.ratio, 0, 10);
  fields.Number("reserve", target.reserve, 0, 1e6);
  fields.Duration("window", target.window, milliseconds(100), std::chrono::hours(1));
  fields.ReportUnknown();
}

void ReadStages(yaml_fields& parent, stage_plan_limits& target, findings& found) {
  const yaml_node* node = parent.Child("stages");
  if (node == nullptr) return;
  yaml_fields fields(*node, found);
  if (!fields.valid()) return;
  fields.Number("change_price", target.change_price, 0, 1e6);
  fields.Duration("horizon", target.horizon, seconds(1), std::chrono::hours(24));
  fields.Number("initial_prefill_share", target.initial_prefill_share, 0, 1);
  fields.Number("max_prefill_share", target.max_prefill_share, 0, 1);
  fields.ReportUnknown();
}

/** Returns whether a list of words, separated by commas, has the word. */
bool HasWord(std::string_view words, std::string_view word) {
  while (!words.empty()) {
    const std::size_t end = std::min(words.find(','), words.size());
    if (words.substr(0, end) == word) return true;
    words.remove_prefix(std::min(end + 1, words.size()));
  }
  return false;
}

void ReadDuties(yaml_fields& parent, duty_settings& target, findings& found) {
  const yaml_node* node = parent.Child("duties");
  if (node == nullptr) return;
  yaml_fields fields(*node, found);
  if (!fields.valid()) return;
  std::string taken;
  fields.Address("platform", target.platform_address);
  fields.Text("take", taken);
  target.usage = HasWord(taken, "usage");
  target.ordering = HasWord(taken, "scale");
  fields.Number("calls_per_second", target.calls_per_second, 0.1, 1e6);
  fields.Duration("usage_window", target.usage_window, milliseconds(500), std::chrono::hours(24));
  fields.Duration("usage_lateness", target.usage_lateness, milliseconds(500),
                  std::chrono::hours(24));
  fields.Require("platform", "the address of the platform's API, ip:port");
  fields.ReportUnknown();
}

void ReadCrossing(yaml_fields& parent, crossing_terms& target, findings& found) {
  const yaml_node* node = parent.Child("crossing");
  if (node == nullptr) return;
  yaml_fields fields(*node, found);
  if (!fields.valid()) return;
  fields.Number("ms_per_megabyte", target.ms_per_megabyte, 0, 1e9);
  fields.Number("ms_per_kv_gigabyte", target.ms_per_kv_gigabyte, 0, 1e9);
  fields.ReportUnknown();
}

}  // namespace

gateway_settings ReadGatewaySettings(const std::string& file, std::string_view text,
                                     findings& found) {
  gateway_settings settings;
  findings parsing;
  const yaml_node root = ParseYaml(file, text, parsing);
  found.Append(parsing);
  if (!parsing.empty()) return settings;
  yaml_fields fields(root, found);
  if (!fields.valid()) return settings;
  fields.Text("host", settings.host);
  fields.Text("data_centre", settings.data_centre);
  fields.Address("callers", settings.callers_address);
  fields.Address("readiness", settings.readiness_address);
  fields.Address("notices", settings.notices_address);
  fields.Address("metrics", settings.metrics_address);
  fields.Address("store", settings.store_address);
  fields.Duration("stop_grace", settings.stop_grace, milliseconds(100), std::chrono::minutes(10));
  fields.Duration("leaving_known_within", settings.leaving_known_within, milliseconds(500),
                  std::chrono::minutes(1));
  fields.Whole("file_limit", settings.file_limit, 64, 1'000'000);
  fields.Bytes("memory", settings.memory, 16 << 20, std::uint64_t{1} << 40);
  fields.Whole("shared_reading_from", settings.shared_reading_from, 2, 1'000'000);
  ReadRetries(fields, settings.retries, found);
  ReadStages(fields, settings.stages, found);
  ReadDuties(fields, settings.duties, found);
  ReadCrossing(fields, settings.crossing, found);
  fields.Require("host", "the name of this host");
  fields.Require("data_centre", "the name of this daemon's data centre");
  fields.Require("callers", "the address for callers, ip:port");
  fields.Require("readiness", "the address for the load balancer's readiness check, ip:port");
  fields.Require("notices", "the address for other daemons' notices, ip:port, UDP");
  fields.Require("store", "the address of the platform's object store, ip:port");
  fields.ReportUnknown();
  return settings;
}

}  // namespace hawthorndrum
