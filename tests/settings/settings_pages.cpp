/// The documentation of settings and service files matches the code.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

#include "systems/config_codec.h"
#include "systems/service_file_reader.h"
#include "systems/settings_reader.h"

namespace hawthorndrum {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/** Returns the keys and defaults in a page's tables, in the order of the page. */
std::vector<std::pair<std::string, std::string>> RowsOf(const std::string& page) {
  const std::regex row("\n\\| `(\\w+)` \\| ([^|]+) \\|");
  std::vector<std::pair<std::string, std::string>> rows;
  for (std::sregex_iterator found(page.begin(), page.end(), row), end; found != end; ++found) {
    rows.emplace_back((*found)[1], (*found)[2]);
  }
  return rows;
}

std::set<std::string> KeysOf(const std::string& page) {
  std::set<std::string> keys;
  for (const auto& [key, value] : RowsOf(page)) keys.insert(key);
  return keys;
}

/** Returns the keys that a reader's source code reads. */
std::set<std::string> KeysRead(const std::string& source) {
  const std::regex call(
      "(?:Text|Flag|Duration|Bytes|Number|Whole|Address|AddressList|Choice|Child|ReadSecret|"
      "ReadTls|"
      "ReadShortText)\\((?:fields, )?\"(\\w+)\"");
  std::set<std::string> keys;
  for (std::sregex_iterator found(source.begin(), source.end(), call), end; found != end; ++found) {
    keys.insert((*found)[1]);
  }
  return keys;
}

TEST(SettingsPages, SettingsPageHasEveryKeyAndNoOther) {
  EXPECT_EQ(KeysOf(ReadFile("docs/settings.md")),
            KeysRead(ReadFile("src/libhawthorndrum/systems/settings_reader.cpp")));
}

TEST(SettingsPages, GatewayPageHasEveryKeyAndNoOther) {
  EXPECT_EQ(KeysOf(ReadFile("docs/gateway-settings.md")),
            KeysRead(ReadFile("src/libhawthorndrum/gateway/gateway_settings.cpp")));
}

TEST(SettingsPages, ServicePageHasEveryKeyAndNoOther) {
  EXPECT_EQ(KeysOf(ReadFile("docs/service-files.md")),
            KeysRead(ReadFile("src/libhawthorndrum/systems/service_file_reader.cpp")));
}

/** Returns `key: value` lines for the defaults listed between two texts of a page. */
std::string DefaultsBetween(const std::string& page, const std::string& from, const std::string& to,
                            const std::string& indent) {
  const std::size_t begin = page.find(from);
  const std::string part = page.substr(begin, page.find(to, begin) - begin);
  std::string text;
  for (const auto& [key, value] : RowsOf(part)) {
    if (value.front() != '`') continue;
    text += indent + key + ": " + value.substr(1, value.size() - 2) + "\n";
  }
  return text;
}

std::string Describe(const daemon_settings& settings) {
  std::ostringstream text;
  text << settings.callers_address << ' ' << settings.admin_address << ' '
       << settings.role_change_price << ' ' << settings.lease_duration.count() << ' '
       << settings.model_loads_at_once << ' ' << settings.trace_share << ' '
       << settings.stop_grace.count() << ' ' << static_cast<int>(settings.log.level) << ' '
       << settings.limits.body_bytes << ' ' << settings.limits.header_bytes << ' '
       << settings.limits.connections << ' ' << settings.limits.idle_upstream_connections << ' '
       << settings.limits.idle_timeout.count();
  return text.str();
}

TEST(SettingsPages, SettingsDefaultsAreThePages) {
  const std::string page = ReadFile("docs/settings.md");
  const std::string required =
      "data_centre: marlow\nregion: marlow\npeers: 10.0.0.4:8002\nobject_api: 10.0.0.2:8100\n"
      "host_list: 10.0.0.2:8101\nadmin_token: replace-this-admin-token\n"
      "peer_key: replace-this-peer-key\n";
  std::string top = DefaultsBetween(page, "| `data_centre`", "Keys of `callers_tls`", "");
  top = std::regex_replace(top, std::regex("region: [^\n]*\n"), "");
  const std::string stated =
      required + top + "log:\n" + DefaultsBetween(page, "Keys of `log`", "Keys of `limits`", "  ") +
      "limits:\n" + DefaultsBetween(page, "Keys of `limits`", "The shortest", "  ");
  findings found;
  const daemon_settings from_page = ReadSettings("page", stated, found);
  EXPECT_EQ(found.ToText(), "") << stated;
  const daemon_settings from_code = ReadSettings("code", required, found);
  EXPECT_EQ(Describe(from_page), Describe(from_code)) << stated;
}

TEST(SettingsPages, ServiceDefaultsAreThePages) {
  const std::string page = ReadFile("docs/service-files.md");
  std::string top = DefaultsBetween(page, "| `service`", "Keys of `model`", "");
  top = std::regex_replace(top, std::regex("idempotency_key: [^\n]*\n"), "");
  const std::string required = "service: a\nmodel: m@1\n";
  const std::string stated = required + top + "limits:\n" +
                             DefaultsBetween(page, "Keys of `limits`", "The shortest", "  ");
  findings found;
  const auto from_page = ReadServiceFile("page", stated, found);
  const auto from_code = ReadServiceFile("code", required, found);
  EXPECT_EQ(found.ToText(), "") << stated;
  ASSERT_EQ(from_page.size(), 1U);
  ASSERT_EQ(from_code.size(), 1U);
  EXPECT_EQ(EncodeService(from_page[0].config), EncodeService(from_code[0].config)) << stated;
}

/** Returns the YAML code blocks of a page. */
std::vector<std::string> BlocksOf(const std::string& page) {
  std::vector<std::string> blocks;
  const std::string open = "```yaml\n";
  for (std::size_t at = page.find(open); at != std::string::npos; at = page.find(open, at + 1)) {
    const std::size_t begin = at + open.size();
    blocks.push_back(page.substr(begin, page.find("```", begin) - begin));
  }
  return blocks;
}

TEST(SettingsPages, ExamplesOnThePagesAreValid) {
  findings found;
  for (const std::string& block : BlocksOf(ReadFile("docs/settings.md"))) {
    ReadSettings("docs/settings.md", block, found);
  }
  const std::vector<std::string> services = BlocksOf(ReadFile("docs/service-files.md"));
  EXPECT_EQ(services.size(), 2U);
  for (const std::string& block : services) ReadServiceFile("docs/service-files.md", block, found);
  for (const std::string& block : BlocksOf(ReadFile("docs/quick-start.md"))) {
    ReadServiceFile("docs/quick-start.md", block, found);
  }
  EXPECT_EQ(found.ToText(), "");
}

}  // namespace
}  // namespace hawthorndrum
