/// The command line against an object store stand-in and an admin port.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "platform_fixture.h"

namespace hawthorndrum {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/** A file in the folder for temporary files, removed by the destructor. */
class temporary_file {
 public:
  explicit temporary_file(const std::string& text)
      : path_(testing::TempDir() + "hawthorndrum-ctl-" + std::to_string(NextNumber()) + ".yaml") {
    Write(text);
  }
  ~temporary_file() { std::remove(path_.c_str()); }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;

  void Write(const std::string& text) { std::ofstream(path_) << text; }
  const std::string& path() const { return path_; }

 private:
  static int NextNumber() {
    static int count = 0;
    return ++count;
  }

  std::string path_;
};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST(Ctl, CheckAcceptsTheExamples) {
  const command_outcome outcome = platform::Run({"check", "examples"});
  EXPECT_EQ(outcome.code, exit_code::kDone) << outcome.err;
  EXPECT_EQ(outcome.out, "7 services, no findings\n");
}

TEST(Ctl, CheckPrintsAllFindings) {
  temporary_file file("- {service: a, modell: m@1}\n- {service: b, pool: p, priority: 11}\n");
  const command_outcome outcome = platform::Run({"check", file.path(), "nowhere"});
  EXPECT_EQ(outcome.code, exit_code::kRefused);
  EXPECT_TRUE(Has(outcome.err, ":1:16: unknown key \"modell\" (did you mean \"model\"?)"))
      << outcome.err;
  EXPECT_TRUE(Has(outcome.err, ":2:35: priority: must be from 0 to 9")) << outcome.err;
  EXPECT_TRUE(Has(outcome.err, "nowhere:1:1: no such file or folder")) << outcome.err;
  const command_outcome as_json = platform::Run({"check", file.path(), "--output", "json"});
  const auto report = nlohmann::json::parse(as_json.out);
  EXPECT_EQ(report["findings"][0]["line"], 1);
}

TEST(Ctl, UsageErrors) {
  EXPECT_EQ(platform::Run({}).code, exit_code::kUsage);
  const command_outcome unknown = platform::Run({"publihs"});
  EXPECT_EQ(unknown.code, exit_code::kUsage);
  EXPECT_TRUE(Has(unknown.err, "did you mean \"publish\"?")) << unknown.err;
  EXPECT_EQ(platform::Run({"check", "--nothing"}).code, exit_code::kUsage);
  EXPECT_EQ(platform::Run({"check", "examples", "--output"}).code, exit_code::kUsage);
  EXPECT_EQ(platform::Run({"check", "examples", "--output", "xml"}).code, exit_code::kUsage);
  EXPECT_EQ(platform::Run({"publish", "examples"}).code, exit_code::kUsage);
  EXPECT_EQ(platform::Run({"publish", "examples", "--store", "x", "--base", "1x"}).code,
            exit_code::kUsage);
  EXPECT_EQ(platform::Run({"config", "history"}).code, exit_code::kUsage);
  EXPECT_EQ(platform::Run({"status"}).code, exit_code::kUsage);
}

TEST(Ctl, PublishesShowsComparesAndRollsBack) {
  platform platform;
  const command_outcome first =
      platform.WithStore({"publish", "examples/hearthwell", "--author", "ann", "--note", "first"});
  EXPECT_EQ(first.code, exit_code::kDone) << first.err;
  EXPECT_TRUE(Has(first.out, "added payments\n")) << first.out;
  EXPECT_TRUE(Has(first.out, "published as generation 1")) << first.out;

  temporary_file file("service: stock-checks\nmodel: oak-7b@1\npriority: 3\nuseful_within: 2s\n");
  const command_outcome dry = platform.WithStore({"publish", file.path(), "--dry-run"});
  EXPECT_TRUE(Has(dry.out, "changed stock-checks\n    priority: 9 -> 3\n")) << dry.out;
  EXPECT_TRUE(Has(dry.out, "nothing was changed")) << dry.out;
  EXPECT_EQ(platform.WithStore({"publish", file.path(), "--remove", "payments"}).code,
            exit_code::kDone);

  const command_outcome diff = platform.WithStore({"config", "diff", "1", "2"});
  EXPECT_EQ(diff.out, "removed payments\nchanged stock-checks\n    priority: 9 -> 3\n");
  const command_outcome history = platform.WithStore({"config", "history", "--output", "json"});
  const auto generations = nlohmann::json::parse(history.out);
  ASSERT_EQ(generations.size(), 2U);
  EXPECT_EQ(generations[1]["author"], "ann");
  EXPECT_EQ(generations[1]["note"], "first");
  EXPECT_EQ(platform.WithStore({"config", "show", "payments"}).code, exit_code::kNotFound);
  EXPECT_EQ(platform.WithStore({"config", "diff", "1", "9"}).code, exit_code::kNotFound);

  const command_outcome back = platform.WithStore({"config", "rollback", "1", "payments"});
  EXPECT_EQ(back.code, exit_code::kDone) << back.err;
  EXPECT_TRUE(Has(back.out, "published as generation 3")) << back.out;
  const command_outcome shown = platform.WithStore({"config", "show", "payments"});
  EXPECT_TRUE(Has(shown.out, "lookup: /lookup")) << shown.out;
  const command_outcome rest = platform.WithStore({"config", "diff", "1", "3"});
  EXPECT_EQ(rest.out, "changed stock-checks\n    priority: 9 -> 3\n");
}

TEST(Ctl, PrunesWhatNoKeptGenerationNeeds) {
  platform platform;
  temporary_file file("");
  for (int version = 1; version <= 5; ++version) {
    file.Write("- {service: a, model: m@" + std::to_string(version) +
               "}\n- {service: b, model: m@1}\n");
    platform.WithStore({"publish", file.path()});
  }
  // Kept: 2 heads, their 2 pages and 2 leaves of a, and b's page and leaf. Not needed: 3 old heads,
  // and 3 pages and 3 leaves of a.
  const command_outcome dry =
      platform.WithStore({"config", "prune", "--keep", "2", "--dry-run", "--output", "json"});
  EXPECT_EQ(nlohmann::json::parse(dry.out)["unneeded"], 9) << dry.out;
  EXPECT_EQ(nlohmann::json::parse(dry.out)["removed"], 0);
  const command_outcome done =
      platform.WithStore({"config", "prune", "--keep", "2", "--output", "json"});
  EXPECT_EQ(nlohmann::json::parse(done.out)["removed"], 9) << done.out;
  EXPECT_EQ(nlohmann::json::parse(done.out)["parts_kept"], 6) << done.out;
  EXPECT_EQ(platform.WithStore({"config", "diff", "4", "5"}).code, exit_code::kDone);
  EXPECT_EQ(platform.WithStore({"config", "diff", "3", "5"}).code, exit_code::kNotFound);
  EXPECT_EQ(platform.WithStore({"config", "rollback", "4"}).code, exit_code::kDone);
  EXPECT_EQ(platform.WithStore({"config", "prune", "--keep", "0"}).code, exit_code::kUsage);
}

TEST(Ctl, RefusedInputChangesNothing) {
  platform platform;
  temporary_file file("- {service: a, model: m@1}\n- {service: b}\n");
  const command_outcome outcome = platform.WithStore({"publish", file.path()});
  EXPECT_EQ(outcome.code, exit_code::kRefused);
  EXPECT_TRUE(Has(outcome.err, "nothing was published")) << outcome.err;
  EXPECT_EQ(platform.WithStore({"config", "history"}).code, exit_code::kNotFound);
}

TEST(Ctl, AConflictNamesWhoAndWhat) {
  platform platform;
  temporary_file file("service: a\nmodel: m@1\n");
  platform.WithStore({"publish", file.path()});
  file.Write("service: a\nmodel: m@2\n");
  platform.WithStore({"publish", file.path(), "--author", "cat"});
  file.Write("service: a\nmodel: m@3\n");
  const command_outcome outcome = platform.WithStore({"publish", file.path(), "--base", "1"});
  EXPECT_EQ(outcome.code, exit_code::kConflict);
  EXPECT_TRUE(Has(outcome.out, "a: changed by cat at 2")) << outcome.out;
  EXPECT_TRUE(Has(outcome.out, "theirs -> yours: version: \"2\" -> \"3\"")) << outcome.out;
}

TEST(Ctl, AStoreThatIsOutOrGone) {
  temporary_file file("service: a\nmodel: m@1\n");
  const command_outcome unreachable =
      platform::Run({"publish", file.path(), "--store", "127.0.0.1:1", "--patience", "1ms"});
  EXPECT_EQ(unreachable.code, exit_code::kUnavailable);
  platform platform;
  fault_settings faults;
  faults.down = true;
  platform.SetFaults(faults);
  const command_outcome out = platform.WithStore({"publish", file.path(), "--patience", "1ms"});
  EXPECT_EQ(out.code, exit_code::kUnavailable) << out.out;
  EXPECT_TRUE(Has(out.out, "nothing was put into force")) << out.out;
  EXPECT_EQ(platform.WithStore({"config", "show"}).code, exit_code::kUnavailable);
}

TEST(Ctl, ALostAnswerIsSettledByTheSameRun) {
  platform platform;
  temporary_file file("service: a\nmodel: m@1\n");
  platform.WithStore({"publish", file.path()});
  fault_settings faults;
  faults.drop_after = true;
  faults.times = 1;
  faults.match = "config/history";
  platform.SetFaults(faults);
  file.Write("service: a\nmodel: m@2\n");
  const command_outcome outcome = platform.WithStore({"publish", file.path()});
  EXPECT_EQ(outcome.code, exit_code::kDone) << outcome.out;
  EXPECT_TRUE(Has(outcome.out, "published as generation 2")) << outcome.out;
}

TEST(Ctl, SettlesByThePublishId) {
  platform platform;
  temporary_file file("service: a\nmodel: m@1\n");
  platform.WithStore({"publish", file.path(), "--publish-id", "77"});
  file.Write("service: a\nmodel: m@2\n");
  platform.WithStore({"publish", file.path()});
  file.Write("service: a\nmodel: m@1\n");
  const command_outcome again =
      platform.WithStore({"publish", file.path(), "--publish-id", "77", "--output", "json"});
  const auto report = nlohmann::json::parse(again.out);
  EXPECT_EQ(report["status"], "published");
  EXPECT_EQ(report["generation"], 1);
}

/** Sets the operators' token in the environment for the duration of a test. */
class AdminCommandsTest : public testing::Test {
 protected:
  void SetUp() override { setenv("HAWTHORNDRUM_ADMIN_TOKEN", platform::kToken, 1); }
  void TearDown() override { unsetenv("HAWTHORNDRUM_ADMIN_TOKEN"); }

  const platform& servers() const { return platform_; }
  std::string LastCommand(const std::string& section) { return platform_.LastCommand(section); }

 private:
  platform platform_;
};

TEST_F(AdminCommandsTest, ShowsASection) {
  const command_outcome table = servers().WithAdmin({"upstreams"});
  EXPECT_EQ(table.code, exit_code::kDone) << table.err;
  EXPECT_EQ(table.out, "upstreams:\n  address      role\n  10.0.0.9:80  mixed\n");
  const command_outcome as_json = servers().WithAdmin({"upstreams", "--output", "json"});
  EXPECT_EQ(nlohmann::json::parse(as_json.out)["upstreams"][0]["role"], "mixed");
  EXPECT_EQ(servers().WithAdmin({"orders", "known"}).out, "item: known\n");
  EXPECT_EQ(servers().WithAdmin({"orders", "other"}).code, exit_code::kNotFound);
}

TEST_F(AdminCommandsTest, GivesOrders) {
  EXPECT_EQ(servers().WithAdmin({"drain", "10.0.0.9:80"}).code, exit_code::kDone);
  EXPECT_EQ(LastCommand("upstreams"), "drain {\"address\":\"10.0.0.9:80\"}");
  EXPECT_EQ(servers().WithAdmin({"drain", "stop", "10.0.0.9:80"}).code, exit_code::kDone);
  EXPECT_EQ(LastCommand("upstreams"), "undrain {\"address\":\"10.0.0.9:80\"}");
  servers().WithAdmin({"orders", "set-role", "10.0.0.9:80", "decode"});
  EXPECT_EQ(LastCommand("orders"), "set_role {\"engine\":\"10.0.0.9:80\",\"role\":\"decode\"}");
  EXPECT_EQ(servers().WithAdmin({"orders", "set-role", "10.0.0.9:80"}).code, exit_code::kUsage);
  EXPECT_EQ(servers().WithAdmin({"drain"}).code, exit_code::kUsage);
}

TEST_F(AdminCommandsTest, RefusedTokensAndMissingDaemons) {
  setenv("HAWTHORNDRUM_ADMIN_TOKEN", "wrong", 1);
  EXPECT_EQ(servers().WithAdmin({"upstreams"}).code, exit_code::kUnauthorised);
  EXPECT_EQ(servers().WithAdmin({"status"}).code, exit_code::kUnauthorised);
  EXPECT_EQ(platform::Run({"status", "--admin", "127.0.0.1:1"}).code, exit_code::kUnavailable);
  temporary_file token(std::string(platform::kToken) + "\n");
  EXPECT_EQ(servers().WithAdmin({"upstreams", "--token-file", token.path()}).code,
            exit_code::kDone);
}

TEST_F(AdminCommandsTest, StatusAtAGlance) {
  const command_outcome outcome = servers().WithAdmin({"status"});
  EXPECT_EQ(outcome.code, exit_code::kDone) << outcome.err;
  EXPECT_TRUE(Has(outcome.out, "generation 7, lowest in force 6, 3 services")) << outcome.out;
  EXPECT_TRUE(Has(outcome.out, "dc0: 4 daemons, lowest 6; lagging: 10.0.0.3:8002 (6)"))
      << outcome.out;
  EXPECT_TRUE(Has(outcome.out, "! peers: no such section")) << outcome.out;
  EXPECT_TRUE(Has(outcome.out, "10.0.0.9:80")) << outcome.out;
}

TEST_F(AdminCommandsTest, WaitsUntilEveryDaemonHasIt) {
  temporary_file file("service: a\nmodel: m@1\n");
  const std::vector<std::string> words = {"publish", file.path(),   "--store", servers().store(),
                                          "--wait",  "--wait-time", "200ms"};
  // The daemon reports that it has generation 7 of run 77, and that another has generation 6.
  std::vector<std::string> first = words;
  first.insert(first.end(), {"--floor", "6"});
  const command_outcome old_copy = servers().WithAdmin(first);
  EXPECT_EQ(old_copy.code, exit_code::kNotYet);
  EXPECT_TRUE(Has(old_copy.err, "of another history")) << old_copy.err;
  EXPECT_TRUE(Has(old_copy.err, "publish with --floor 8")) << old_copy.err;

  file.Write("service: a\nmodel: m@2\n");
  const command_outcome other_run = servers().WithAdmin(words);
  EXPECT_TRUE(Has(other_run.out, "published as generation 7")) << other_run.out;
  EXPECT_EQ(other_run.code, exit_code::kNotYet);
  EXPECT_TRUE(Has(other_run.err, "of another history")) << other_run.err;

  file.Write("service: a\nmodel: m@3\n");
  const command_outcome lagging = servers().WithAdmin(words);
  EXPECT_EQ(lagging.code, exit_code::kNotYet);
  EXPECT_TRUE(Has(lagging.err, "lagging: 10.0.0.3:8002 has 6")) << lagging.err;
}

TEST_F(AdminCommandsTest, SaysWhenEveryDaemonHasIt) {
  temporary_file file("service: a\nmodel: m@1\n");
  const std::vector<std::string> words = {"publish", "--store", servers().store(), "--wait-time",
                                          "200ms"};
  const auto publish = [&](const std::string& path, const std::vector<std::string>& more) {
    std::vector<std::string> all = words;
    all.push_back(path);
    all.insert(all.end(), more.begin(), more.end());
    return servers().WithAdmin(all);
  };
  EXPECT_EQ(publish(file.path(), {"--floor", "6", "--publish-id", "70"}).code, exit_code::kDone);
  temporary_file other("service: b\nmodel: m@1\n");
  const command_outcome lagging = publish(other.path(), {"--publish-id", "77", "--wait"});
  EXPECT_EQ(lagging.code, exit_code::kNotYet) << lagging.err;
  EXPECT_TRUE(Has(lagging.err, "lowest generation in force 6 of 7")) << lagging.err;
  // The earlier run's generation 6 is in force on every daemon.
  const command_outcome done = publish(file.path(), {"--publish-id", "70", "--wait"});
  EXPECT_EQ(done.code, exit_code::kDone) << done.err;
  EXPECT_TRUE(Has(done.err, "generation 6 is in force on 4 daemons")) << done.err;
}

std::vector<std::string> PagesIn(const std::string& folder) {
  std::vector<std::string> pages;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".md") pages.push_back(entry.path().string());
  }
  return pages;
}

TEST(CtlPages, CommandsOnThePagesExist) {
  std::set<std::string> names;
  for (const auto& one : AllCommands()) names.insert(std::string(one->name()));
  std::vector<std::string> pages = PagesIn("docs");
  for (const char* folder : {"docs/operators", "docs/design"}) {
    for (const std::string& page : PagesIn(folder)) pages.push_back(page);
  }
  const std::regex call("hawthorndrumctl ([a-z][a-z-]*)");
  int found = 0;
  for (const std::string& page : pages) {
    const std::string text = ReadFile(page);
    for (std::sregex_iterator at(text.begin(), text.end(), call), end; at != end; ++at) {
      EXPECT_EQ(names.count((*at)[1]), 1U) << page << ": " << (*at)[0];
      found += 1;
    }
  }
  EXPECT_GT(found, 0);
}

TEST(CtlPages, TheIndexLinksEveryOperatorsPage) {
  const std::string index = ReadFile("docs/operators/README.md");
  for (const std::string& page : PagesIn("docs/operators")) {
    const std::string file = page.substr(page.rfind('/') + 1);
    EXPECT_TRUE(file == "README.md" || Has(index, "(" + file + ")")) << page;
  }
}

TEST(CtlPages, HelpCompletionAndManualKnowEveryOption) {
  const std::string completion = ReadFile("completions/hawthorndrumctl.bash");
  std::string manual = ReadFile("docs/man/hawthorndrumctl.1");
  manual.erase(std::remove(manual.begin(), manual.end(), '\\'), manual.end());
  for (const auto& one : AllCommands()) {
    const std::string name(one->name());
    const command_outcome help = platform::Run({name, "--help"});
    EXPECT_EQ(help.code, exit_code::kDone);
    EXPECT_TRUE(Has(manual, ".SS " + name + "\n")) << name;
    const std::size_t line = completion.find("\n    " + name + ") ");
    ASSERT_NE(line, std::string::npos) << name;
    const std::string completed =
        completion.substr(line + 1, completion.find('\n', line + 1) - line);
    for (const option_spec& spec : one->options()) {
      const std::string option = "--" + std::string(spec.name);
      EXPECT_TRUE(Has(help.out, option)) << name;
      EXPECT_TRUE(Has(completed, option)) << name << " " << option;
      EXPECT_TRUE(Has(manual, ".B " + option)) << option;
    }
    for (const std::string_view word : one->keywords()) {
      EXPECT_TRUE(Has(completed, std::string(word))) << name << " " << word;
    }
  }
}

}  // namespace
}  // namespace hawthorndrum
