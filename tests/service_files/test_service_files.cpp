/// Service files: examples, defaults, findings, arbitrary and damaged text.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>

#include "base/yaml_parser.h"
#include "systems/service_file_reader.h"
#include "systems/settings_reader.h"

namespace hawthorndrum {
namespace {

constexpr int kMaxExampleLines = 8;

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string FindingsOf(const std::string& text) {
  findings found;
  ReadServiceFile("f.yaml", text, found);
  return found.ToText();
}

TEST(ServiceFiles, TwoLinesAreEnough) {
  findings found;
  const auto services = ReadServiceFile("f.yaml", "service: a\nmodel: oak-7b@3\n", found);
  EXPECT_EQ(found.ToText(), "");
  ASSERT_EQ(services.size(), 1U);
  EXPECT_EQ(services[0].config.name, "a");
  EXPECT_EQ(services[0].config.team, "a");
  EXPECT_EQ(services[0].config.kind, service_kind::kModel);
  EXPECT_EQ(services[0].config.model, (model_use{"oak-7b", "3", ""}));
  EXPECT_TRUE(services[0].config.repeatable);
}

TEST(ServiceFiles, ExamplesAreValidAndShort) {
  const std::vector<std::string> folders = {"hearthwell/dispatch-summaries",
                                            "hearthwell/stock-checks",
                                            "hearthwell/payments",
                                            "hearthwell/night-digests",
                                            "kurssivaraus/eligibility-answers",
                                            "kurssivaraus/seat-checks",
                                            "kurssivaraus/bookings"};
  for (const std::string& folder : folders) {
    const std::string path = "examples/" + folder + "/hawthorndrum.yaml";
    const std::string text = ReadFile(path);
    findings found;
    const auto services = ReadServiceFile(path, text, found);
    EXPECT_EQ(found.ToText(), "");
    ASSERT_EQ(services.size(), 1U) << path;
    EXPECT_EQ(services[0].config.name, folder.substr(folder.find('/') + 1));
    EXPECT_LT(std::count(text.begin(), text.end(), '\n'), kMaxExampleLines) << path;
  }
}

TEST(ServiceFiles, SeveralServicesAFile) {
  findings found;
  const auto services = ReadServiceFile("f.yaml",
                                        "- {service: a, model: m@1}\n"
                                        "- {service: b, pool: p, repeatable: false, lookup: /l}\n",
                                        found);
  EXPECT_EQ(found.ToText(), "");
  ASSERT_EQ(services.size(), 2U);
  EXPECT_EQ(services[1].config.kind, service_kind::kPlain);
  EXPECT_EQ(services[1].config.lookup_path, "/l");
}

struct refused_text {
  const char* text;
  const char* finding;
};

TEST(ServiceFiles, RefusesWithPlaceAndHint) {
  const std::vector<refused_text> cases = {
      {"", "f.yaml:1:1: the file is empty"},
      {"service: a\n", "f.yaml:1:1: the upstreams are missing"},
      {"service: a\nmodel: m@1\npool: p\n", "f.yaml:3:1: a service has a model or a pool"},
      {"service: A b\nmodel: m@1\n", "f.yaml:1:1: service: use small letters"},
      {"service: a\nmodel: m\n", "f.yaml:2:8: model: expected NAME@VERSION"},
      {"service: a\nmodel: {name: m}\n", "key \"version\" is missing"},
      {"service: a\nmodel: m@1\nusful_within: 2s\n", "did you mean \"useful_within\"?"},
      {"service: a\nmodel: m@1\nuseful_within: 2 seconds\n",
       "f.yaml:3:16: useful_within: unknown unit"},
      {"service: a\nmodel: m@1\nuseful_within: 2\n", "the unit is missing"},
      {"service: a\nmodel: m@1\nuseful_within: 0s\n", "must be from 1ms to 24h"},
      {"service: a\nmodel: m@1\npriority: 10\n", "f.yaml:3:11: priority: must be from 0 to 9"},
      {"service: a\nmodel: m@1\npriority: 1.5\n", "expected a whole number"},
      {"service: a\nmodel: m@1\npriority: nan\n", "expected a number"},
      {"service: a\nmodel: m@1\nrepeatable: yes\n", "expected true or false"},
      {"service: a\nmodel: m@1\nlookup: /l\n", "lookup: belongs to a service with a pool"},
      {"service: a\npool: p\nlookup: /l\n", "lookup: belongs to a service with repeatable: false"},
      {"service: a\npool: p\nrepeatable: false\nlookup: l\n", "a path that starts with /"},
      {"service: a\nmodel: m@1\nlongest_deadline: 1s\n", "must not be below useful_within, 10s"},
      {"service: a\nservice: b\nmodel: m@1\n", "f.yaml:2:1: key \"service\" is given twice"},
      {"a: &x [1]\nb: *x\n", "f.yaml:2:4: aliases are not allowed"},
      {"service: !!str a\nmodel: m@1\n", "tags are not allowed"},
      {"service: a\nmodel: m@1\n---\nservice: b\n", "a second document"},
      {"service: [a\n", "f.yaml:"},
      {"service: a\x01\n", "f.yaml:1:11: control character"},
      {"[[[[[[[[[[[[[[1]]]]]]]]]]]]]]", "nested too deeply"},
      {"- 3\n- {service: a, model: m@1}\n", "f.yaml:1:3: expected keys with values"},
      {"service: a\nmodel: m@1\nlimits: 3\n", "f.yaml:3:9: expected keys with values"},
      {"service: a\nmodel: m@1\nlimits: {concurency: 3}\n", "did you mean \"concurrency\"?"},
  };
  for (const refused_text& one : cases) {
    const std::string found = FindingsOf(one.text);
    EXPECT_NE(found.find(one.finding), std::string::npos) << one.text << "\ngave\n" << found;
  }
}

TEST(ServiceFiles, RefusesHugeFiles) {
  EXPECT_NE(FindingsOf(std::string(kMaxYamlBytes + 1, '#')).find("larger than 256 KiB"),
            std::string::npos);
  std::string many = "[";
  for (std::size_t i = 0; i <= kMaxYamlNodes; ++i) many += "1,";
  EXPECT_NE(FindingsOf(many + "1]").find("too many values"), std::string::npos);
}

TEST(ServiceFiles, ReportsServicesStatedTwice) {
  findings found;
  auto services = ReadServiceFile("a.yaml", "service: a\nmodel: m@1\n", found);
  const auto others = ReadServiceFile("b.yaml", "\nservice: a\nmodel: m@2\n", found);
  services.insert(services.end(), others.begin(), others.end());
  CheckDuplicateServices(services, found);
  EXPECT_EQ(found.ToText(), "b.yaml:2:1: service \"a\" is stated twice (first in a.yaml:1)\n");
}

TEST(ServiceFiles, KeepsGoodServicesBesideBadOnes) {
  findings found;
  const auto services =
      ReadServiceFile("f.yaml", "- {service: a, model: m@1}\n- {service: b}\n", found);
  EXPECT_EQ(found.items().size(), 1U);
  ASSERT_EQ(services.size(), 1U);
  EXPECT_EQ(services[0].config.name, "a");
}

/** Random sequences of YAML fragments, which get further into the parser than random bytes. */
rc::Gen<std::string> YamlFragments() {
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
                          "service", "model", "pool", ": ", ":", "\n", "\n  ", "- ", "[", "]", "{",
                          "}", ", ", "&a ", "*a", "!!str ", "\"", "'", "#", "|", ">", "---\n",
                          "...\n", "2s", "m@1", "a", "limits", "priority", "? ", "%YAML 9.9\n",
                          "\t", "\xff", "~", "<<", "9999999999999999999")),
                      [](const std::vector<std::string>& fragments) {
                        std::string text;
                        for (const std::string& fragment : fragments) text += fragment;
                        return text;
                      });
}

bool EveryLocationGiven(const findings& found) {
  for (const finding& one : found.items()) {
    if (one.where.file.empty() || one.where.line < 1 || one.where.column < 1) return false;
    if (one.message.empty()) return false;
  }
  return true;
}

void CheckAnyText(const std::string& text) {
  findings found;
  const auto services = ReadServiceFile("f.yaml", text, found);
  CheckDuplicateServices(services, found);
  RC_ASSERT(EveryLocationGiven(found));
  RC_ASSERT(!found.empty() || !services.empty() || text.find('[') != std::string::npos);
  findings of_settings;
  ReadSettings("f.yaml", text, of_settings);
  RC_ASSERT(!of_settings.empty());
  RC_ASSERT(EveryLocationGiven(of_settings));
}

RC_GTEST_PROP(ServiceFiles, AnyYamlLikeTextGivesFindingsWithPlaces, ()) {
  CheckAnyText(*YamlFragments());
}

RC_GTEST_PROP(ServiceFiles, AnyBytesGiveFindingsWithPlaces, (const std::string& text)) {
  CheckAnyText(text);
}

RC_GTEST_PROP(ServiceFiles, DamagedExamplesGiveFindingsWithPlaces, ()) {
  std::string text = ReadFile("examples/kurssivaraus/eligibility-answers/hawthorndrum.yaml");
  const auto changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    text[position] = static_cast<char>(*rc::gen::arbitrary<unsigned char>());
  }
  findings found;
  ReadServiceFile("f.yaml", text, found);
  RC_ASSERT(EveryLocationGiven(found));
}

}  // namespace
}  // namespace hawthorndrum
