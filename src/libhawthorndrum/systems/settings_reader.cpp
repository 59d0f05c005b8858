/// Reads and checks a daemon's settings in YAML.
#include "systems/settings_reader.h"

#include "base/yaml_fields.h"
#include "base/yaml_parser.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kMinSecretLength = 16;
constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = 1024 * kKibibyte;
constexpr double kMaxRoleChangePrice = 1000;

void ReadSecret(yaml_fields& fields, std::string_view key, std::string& target, findings& found) {
  fields.Require(key, "at least 16 characters");
  if (!fields.Text(key, target) || target.size() >= kMinSecretLength) return;
  found.Add(fields.LocationOf(key), std::string(key) + ": shorter than 16 characters");
}

void ReadTls(yaml_fields& parent, std::string_view key, tls_settings& target, findings& found) {
  const yaml_node* node = parent.Child(key);
  if (node == nullptr) return;
  yaml_fields fields(*node, found);
  if (!fields.valid()) return;
  fields.Text("certificate", target.certificate);
  fields.Text("key", target.key);
  fields.Text("authority", target.authority);
  fields.Require("certificate", "the path of a PEM file");
  fields.Require("key", "the path of a PEM file");
  fields.ReportUnknown();
}

void ReadLog(yaml_fields& parent, log_settings& target, findings& found) {
  const yaml_node* node = parent.Child("log");
  if (node == nullptr) return;
  yaml_fields fields(*node, found);
  if (!fields.valid()) return;
  fields.Text("directory", target.directory);
  std::size_t level = static_cast<std::size_t>(target.level);
  fields.Choice("level", {"info", "warning", "error"}, level);
  target.level = static_cast<log_level>(level);
  fields.ReportUnknown();
}

void ReadLimits(yaml_fields& parent, connection_limits& target, findings& found) {
  const yaml_node* node = parent.Child("limits");
  if (node == nullptr) return;
  yaml_fields fields(*node, found);
  if (!fields.valid()) return;
  fields.Bytes("body", target.body_bytes, kKibibyte, 256 * kMebibyte);
  fields.Bytes("headers", target.header_bytes, kKibibyte, kMebibyte);
  fields.Whole("connections", target.connections, 1, 1'000'000);
  fields.Whole("idle_upstream_connections", target.idle_upstream_connections, 0, 100'000);
  fields.Duration("idle_timeout", target.idle_timeout, seconds(1), std::chrono::hours(1));
  fields.ReportUnknown();
}

void ReadAddresses(yaml_fields& fields, daemon_settings& settings) {
  fields.Address("callers", settings.callers_address);
  fields.Address("peers", settings.peers_address);
  fields.Address("admin", settings.admin_address);
  fields.Address("object_api", settings.object_api);
  fields.Address("host_list", settings.host_list);
  fields.AddressList("seed_peers", settings.seed_peers);
  fields.Require("peers", "this daemon's own address for peers, ip:port");
  fields.Require("object_api", "the address of the platform's object API, ip:port");
  fields.Require("host_list", "the address of the platform's host list, ip:port");
}

void ReadTracing(yaml_fields& fields, daemon_settings& settings) {
  fields.Address("trace_exporter", settings.trace_exporter);
  fields.Number("trace_share", settings.trace_share, 0, 1);
}

void CheckOwnPorts(const yaml_fields& fields, const daemon_settings& settings, findings& found) {
  if (settings.callers_address == settings.admin_address) {
    found.Add(fields.LocationOf("admin"), "admin: must differ from callers");
  }
  if (settings.peers_address.empty()) return;
  const std::string& peers = settings.peers_address;
  if (peers == settings.callers_address || peers == settings.admin_address) {
    found.Add(fields.LocationOf("peers"), "peers: must differ from callers and admin");
  }
  if (peers.rfind("0.0.0.0:", 0) == 0) {
    found.Add(fields.LocationOf("peers"), "peers: must be an address that peers can connect to");
  }
}

void CheckSecrets(const yaml_fields& fields, const daemon_settings& settings, findings& found) {
  if (settings.admin_token.empty() || settings.admin_token != settings.peer_key) return;
  found.Add(fields.LocationOf("peer_key"), "peer_key: must differ from admin_token");
}

}  // namespace

daemon_settings ReadSettings(const std::string& file, std::string_view text, findings& found) {
  daemon_settings settings;
  findings parsing;
  const yaml_node root = ParseYaml(file, text, parsing);
  found.Append(parsing);
  if (!parsing.empty()) return settings;

  yaml_fields fields(root, found);
  if (!fields.valid()) return settings;
  fields.Text("data_centre", settings.data_centre);
  fields.Require("data_centre", "the name of this daemon's data centre");
  settings.region = settings.data_centre;
  fields.Text("region", settings.region);
  ReadAddresses(fields, settings);
  ReadSecret(fields, "admin_token", settings.admin_token, found);
  ReadSecret(fields, "peer_key", settings.peer_key, found);
  ReadTls(fields, "callers_tls", settings.callers_tls, found);
  ReadTls(fields, "admin_tls", settings.admin_tls, found);
  fields.Number("role_change_price", settings.role_change_price, 0, kMaxRoleChangePrice);
  fields.Number("ms_per_megabyte", settings.ms_per_megabyte, 0, 1e9);
  fields.Duration("lease_duration", settings.lease_duration, seconds(2), std::chrono::minutes(5));
  fields.Duration("stop_grace", settings.stop_grace, duration(0), std::chrono::minutes(5));
  fields.Whole("model_loads_at_once", settings.model_loads_at_once, 1, 1000);
  ReadTracing(fields, settings);
  ReadLog(fields, settings.log, found);
  ReadLimits(fields, settings.limits, found);
  fields.ReportUnknown();
  CheckOwnPorts(fields, settings, found);
  CheckSecrets(fields, settings, found);
  return settings;
}

}  // namespace hawthorndrum
