/// Settings files: defaults, findings with their locations, hints.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "systems/settings_reader.h"

namespace hawthorndrum {
namespace {

constexpr const char* kMinimalSettings =
    "data_centre: marlow\n"
    "peers: 10.0.0.4:8002\n"
    "object_api: 10.0.0.2:8100\n"
    "host_list: 10.0.0.2:8101\n"
    "admin_token: 0123456789abcdef\n"
    "peer_key: fedcba9876543210\n";

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string FindingsOf(const std::string& text) {
  findings found;
  ReadSettings("daemon.yaml", text, found);
  return found.ToText();
}

TEST(Settings, ShortestFileTakesDefaults) {
  findings found;
  const daemon_settings settings = ReadSettings("daemon.yaml", kMinimalSettings, found);
  EXPECT_EQ(found.ToText(), "");
  EXPECT_EQ(settings.data_centre, "marlow");
  EXPECT_EQ(settings.region, "marlow");
  EXPECT_EQ(settings.peers_address, "10.0.0.4:8002");
  EXPECT_EQ(settings.callers_address, "0.0.0.0:8001");
  EXPECT_EQ(settings.lease_duration, seconds(10));
  EXPECT_FALSE(settings.callers_tls.enabled());
}

TEST(Settings, ReadsEveryKey) {
  findings found;
  const std::string text = std::string(kMinimalSettings) +
                           "region: midlands\n"
                           "callers: 10.0.0.4:9001\n"
                           "admin: 10.0.0.4:9003\n"
                           "seed_peers: [10.0.0.5:8002, \"[::1]:8002\"]\n"
                           "callers_tls: {certificate: c.pem, key: k.pem}\n"
                           "admin_tls: {certificate: c.pem, key: k.pem, authority: ca.pem}\n"
                           "role_change_price: 5\n"
                           "lease_duration: 8s\n"
                           "model_loads_at_once: 3\n"
                           "trace_exporter: 10.0.0.9:4318\n"
                           "trace_share: 0.5\n"
                           "log: {directory: /var/log/hawthorndrum, level: warning}\n"
                           "limits:\n"
                           "  body: 64MiB\n"
                           "  headers: 32KiB\n"
                           "  connections: 100\n"
                           "  idle_upstream_connections: 8\n"
                           "  idle_timeout: 5min\n";
  const daemon_settings settings = ReadSettings("daemon.yaml", text, found);
  EXPECT_EQ(found.ToText(), "");
  EXPECT_EQ(settings.region, "midlands");
  EXPECT_EQ(settings.callers_address, "10.0.0.4:9001");
  EXPECT_EQ(settings.admin_address, "10.0.0.4:9003");
  EXPECT_EQ(settings.seed_peers.size(), 2U);
  EXPECT_TRUE(settings.callers_tls.enabled());
  EXPECT_EQ(settings.admin_tls.authority, "ca.pem");
  EXPECT_EQ(settings.role_change_price, 5);
  EXPECT_EQ(settings.lease_duration, seconds(8));
  EXPECT_EQ(settings.model_loads_at_once, 3U);
  EXPECT_EQ(settings.trace_exporter, "10.0.0.9:4318");
  EXPECT_EQ(settings.trace_share, 0.5);
  EXPECT_EQ(settings.log.directory, "/var/log/hawthorndrum");
  EXPECT_EQ(settings.log.level, log_level::kWarning);
  EXPECT_EQ(settings.limits.body_bytes, 64U * 1024 * 1024);
  EXPECT_EQ(settings.limits.header_bytes, 32U * 1024);
  EXPECT_EQ(settings.limits.connections, 100U);
  EXPECT_EQ(settings.limits.idle_upstream_connections, 8U);
  EXPECT_EQ(settings.limits.idle_timeout, std::chrono::minutes(5));
}

TEST(Settings, ReportsAllFindingsTogetherWithPlaces) {
  const std::string text = FindingsOf(
      "data_center: marlow\n"
      "peers: nowhere\n"
      "object_api: 10.0.0.2:8100\n"
      "lease_duration: 8\n"
      "role_change_price: -1\n"
      "admin_token: short\n"
      "log: {level: warnin}\n");
  EXPECT_NE(
      text.find("daemon.yaml:1:1: unknown key \"data_center\" (did you mean \"data_centre\"?)"),
      std::string::npos)
      << text;
  EXPECT_NE(text.find("daemon.yaml:2:8: peers: expected ip:port"), std::string::npos) << text;
  EXPECT_NE(text.find("daemon.yaml:4:17: lease_duration: the unit is missing"), std::string::npos)
      << text;
  EXPECT_NE(text.find("daemon.yaml:5:20: role_change_price: must be from 0 to 1000"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("daemon.yaml:6:1: admin_token: shorter"), std::string::npos) << text;
  EXPECT_NE(text.find("daemon.yaml:7:14: level: expected one of info warning error (did you mean"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("key \"host_list\" is missing"), std::string::npos) << text;
  EXPECT_NE(text.find("key \"peer_key\" is missing"), std::string::npos) << text;
}

TEST(Settings, RefusesPortsThatCollide) {
  EXPECT_NE(FindingsOf(std::string(kMinimalSettings) + "admin: 10.0.0.4:8002\n")
                .find("peers: must differ"),
            std::string::npos);
  EXPECT_NE(FindingsOf(std::string(kMinimalSettings) + "admin: 0.0.0.0:8001\n")
                .find("admin: must differ"),
            std::string::npos);
}

TEST(Settings, RefusesOneSecretForTwoRights) {
  std::string text = kMinimalSettings;
  text.replace(text.find("fedcba9876543210"), 16, "0123456789abcdef");
  EXPECT_NE(FindingsOf(text).find("peer_key: must differ from admin_token"), std::string::npos);
}

TEST(Settings, ExamplesAreValid) {
  for (const char* path : {"examples/hearthwell/daemon-1.yaml", "examples/hearthwell/daemon-2.yaml",
                           "examples/kurssivaraus/daemon.yaml"}) {
    findings found;
    const daemon_settings settings = ReadSettings(path, ReadFile(path), found);
    EXPECT_EQ(found.ToText(), "") << path;
    EXPECT_FALSE(settings.data_centre.empty()) << path;
  }
}

}  // namespace
}  // namespace hawthorndrum
