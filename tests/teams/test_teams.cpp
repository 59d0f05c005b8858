/// Tests of keys and teams: who may call, under which name, and that keys stay here.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "config_decoder.h"
#include "gateway_fixture.h"
#include "relay/relay_headers.h"
#include "teams/caller_check.h"
#include "teams/key_index.h"

namespace hawthorndrum {
namespace {

using nlohmann::json;

constexpr char kKey[] = "k-4471";
constexpr char kTeam[] = "X-Hawthorndrum-Tenant";

std::vector<team> Teams(int count, int keys_each) {
  std::vector<team> teams;
  for (int i = 0; i < count; ++i) {
    team made{"team" + std::to_string(i), {}, {}};
    for (int k = 0; k < keys_each; ++k)
      made.keys.push_back("key-" + std::to_string(i) + "-" + std::to_string(k));
    teams.push_back(std::move(made));
  }
  return teams;
}

TEST(KeyIndex, FindsEachOf100000KeysAndNoOther) {
  const std::vector<team> teams = Teams(31000, 4);
  const key_index index(teams, 5);
  for (std::uint32_t i = 0; i < teams.size(); ++i) {
    for (const std::string& key : teams[i].keys) ASSERT_EQ(index.FindKey(teams, key), i);
    ASSERT_EQ(index.FindName(teams, teams[i].name), i);
  }
  for (const char* key : {"", "key-", "key-1-4", "key-31000-0", "team1"})
    EXPECT_FALSE(index.FindKey(teams, key)) << key;
  EXPECT_FALSE(index.FindName(teams, "team31000"));
  EXPECT_LT(index.memory_bytes(), 124000u * 64);
}

class TeamConfigTest : public testing::Test {
 protected:
  std::shared_ptr<const gateway_config> Decode(const std::string& tenants,
                                               const gateway_config* before = nullptr) {
    problems = {};
    const std::string routes =
        R"([{"name":"r","host":"h","path_prefix":"/","kind":"safe","no_auth":true,"service":"s"}])";
    const std::string spec =
        R"({"version":3,"services":[],"routes":)" + routes + R"(,"tenants":)" + tenants + "}";
    const auto config = DecodeConfig(json::parse(spec), 9, before, problems);
    return config ? *config : nullptr;
  }
  static std::string HolderOf(const gateway_config& config, std::string_view key) {
    const auto at = config.keys()->FindKey(config.teams, key);
    return at ? config.teams[*at].name : "";
  }

  team_problems problems;
};

TEST_F(TeamConfigTest, ReadsTeamsAndOpenRoutes) {
  const auto config = Decode(R"([{"name":"a","api_keys":["k1","k2"],"priority":2},
                                 {"name":"b","api_keys":["k3"]}])");
  ASSERT_NE(config, nullptr);
  EXPECT_TRUE(problems.empty());
  EXPECT_EQ(HolderOf(*config, "k2"), "a");
  EXPECT_EQ(HolderOf(*config, "k3"), "b");
  EXPECT_EQ(config->teams[0].priority, 2);
  EXPECT_FALSE(config->teams[1].priority);
  EXPECT_TRUE(config->routes[0].open_to_all);
}

TEST_F(TeamConfigTest, LeavesOutWhatCannotBeUsedAndKeepsTheRest) {
  const auto config = Decode(R"([{"name":"a","api_keys":["k1"]},
      {"api_keys":["k2"]},
      {"name":"","api_keys":["k3"]},
      {"name":"x\r\ny: z","api_keys":["k4"]},
      {"name":"c","api_keys":["",7,"k\n5"," k6","k7"]},
      {"name":"d","api_keys":"k8","priority":"high"},
      9])");
  ASSERT_NE(config, nullptr);
  EXPECT_EQ(problems.nameless, 4);
  EXPECT_EQ(problems.malformed_keys, 5);
  EXPECT_EQ(problems.malformed_priorities, 1);
  EXPECT_EQ(problems.first, "entry 1");
  EXPECT_EQ(HolderOf(*config, "k1"), "a");
  EXPECT_EQ(HolderOf(*config, "k7"), "c");
  for (const char* key : {"k2", "k3", "k4", "k8", "7", ""}) EXPECT_EQ(HolderOf(*config, key), "");
}

TEST_F(TeamConfigTest, AListOfWhichNothingCanBeReadDoesNotLetEveryoneIn) {
  for (const char* text : {R"("x")", R"({"name":"a"})", R"([{"api_keys":["k"]}])", "7"})
    EXPECT_EQ(Decode(text), nullptr) << text;
}

TEST_F(TeamConfigTest, AKeyAtTwoTeamsStaysWithTheTeamItIdentifiedBefore) {
  const char* two = R"([{"name":"a","api_keys":["k1","k2"]},{"name":"b","api_keys":["k1","k3"]}])";
  const auto fresh = Decode(two);
  EXPECT_EQ(problems.shared_keys, 1);
  EXPECT_EQ(HolderOf(*fresh, "k1"), "");
  EXPECT_EQ(HolderOf(*fresh, "k3"), "b");
  const auto before = Decode(R"([{"name":"b","api_keys":["k1"]}])");
  const auto later = Decode(two, before.get());
  EXPECT_EQ(HolderOf(*later, "k1"), "b");
  EXPECT_EQ(HolderOf(*later, "k2"), "a");
}

TEST_F(TeamConfigTest, VersionsWithTheSameTeamsShareTheIndex) {
  const char* teams = R"([{"name":"a","api_keys":["k1"]}])";
  const auto first = Decode(teams);
  EXPECT_EQ(Decode(teams, first.get())->keys(), first->keys());
  const auto other = Decode(R"([{"name":"a","api_keys":["k2"]}])", first.get());
  EXPECT_NE(other->keys(), first->keys());
  EXPECT_EQ(HolderOf(*other, "k1"), "");
}

class TeamsTest : public GatewayFixtureTest {
 protected:
  TeamsTest() {
    Add("p", "desk");
    ConfigureTeams(2, {{"acme", {kKey}, 0}, {"blue", {"k-2"}, {}}});
  }
  ~TeamsTest() override {
    for (const std::string& line : log.lines) EXPECT_EQ(line.find(kKey), std::string::npos) << line;
    EXPECT_EQ(metrics.ToText().find(kKey), std::string::npos);
    for (const auto& record : upstreams.sent)
      EXPECT_TRUE(FindHeader(record.call.request.headers, "Api-Key").empty());
  }
  void ConfigureTeams(std::uint64_t version, std::vector<team> teams) {
    auto config = MakeConfig(version);
    config->teams = std::move(teams);
    config->routes[0].open_to_all = true;
    for (route& each : config->routes) each.priority = 3;
    config->IndexKeys(9, nullptr);
    served.SetConfig(config);
  }
  request_id AskWith(const std::string& path, const std::string& key) {
    return Ask(path, {{"api-key", key}, {kTeam, "spoofed"}, {"x-hawthorndrum-tenant", "more"}});
  }
  /** Every call so far names the team once, or none. */
  void ExpectAllFor(const std::string& team) {
    for (const auto& record : upstreams.sent) {
      std::vector<std::string> named;
      for (const http_header& each : record.call.request.headers) {
        if (each.name.find("enant") != std::string::npos) named.push_back(each.value);
      }
      EXPECT_EQ(named, team.empty() ? std::vector<std::string>() : std::vector{team});
    }
  }
  void HearOfVersion(std::uint64_t version) {
    load_notice notice;
    notice.sender = incarnation_id(8);
    notice.config_version = version;
    served.OnNotice(notice);
  }
};

TEST_F(TeamsTest, TheUpstreamGetsTheTeamAndNeverTheKey) {
  const request_id id = AskWith("/pay/x", kKey);
  ASSERT_EQ(upstreams.sent.size(), 1u);
  ExpectAllFor("acme");
  Answered("paid");
  EXPECT_EQ(CallerOf(id).status, 200);
}

TEST_F(TeamsTest, UnknownMissingAndSeveralKeysAreRefusedAtOnce) {
  for (const char* key : {"k-3", "", "K-4471", "k-447", "k-44711"})
    EXPECT_EQ(CallerOf(AskWith("/pay/x", key)).status, 401) << key;
  const caller_record& without = CallerOf(Ask("/pay/x"));
  EXPECT_EQ(without.status, 401);
  EXPECT_FALSE(FindHeader(without.headers, "WWW-Authenticate").empty());
  EXPECT_EQ(CallerOf(Ask("/pay/x", {{"Api-Key", kKey}, {"Api-Key", "k-2"}})).status, 401);
  EXPECT_EQ(CallerOf(Ask("/tell/x", {{"Last-Event-Id", "3"}, {"Resumes", "q0"}})).status, 401);
  EXPECT_TRUE(origins.asked.empty());
  EXPECT_TRUE(upstreams.sent.empty());
  EXPECT_NE(metrics.ToText().find("unknown_key"), std::string::npos);
  EXPECT_NE(log.LastOf("request_refused").find("unknown_key"), std::string::npos);
}

TEST_F(TeamsTest, OpenRoutesNeedNoKeyAndNameTheTeamOfAKnownOne) {
  AskWith("/look/x", "k-3");
  ExpectAllFor("");
  Answered("");
  AskWith("/look/x", "k-2");
  EXPECT_EQ(SentHeader(kTeam), "blue");
}

TEST_F(TeamsTest, WithoutTeamsTheHeadersOfCallersAreRemovedAllTheSame) {
  Configure(3);
  AskWith("/pay/x", kKey);
  ASSERT_EQ(upstreams.sent.size(), 1u);
  ExpectAllFor("");
}

TEST_F(TeamsTest, RetriesMovesAndPrefillsNameTheTeam) {
  Add("q", "desk");
  AskWith("/look/x", kKey);
  Refused();
  EXPECT_EQ(upstreams.sent.size(), 2u);
  Answered("");
  Add("f", "llm", engine_stage::kPrefill);
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  Ask("/tell/x", {{"Api-Key", kKey},
                  {"X-Hawthorndrum-Model", "m"},
                  {"X-Hawthorndrum-Token-Count", "9000,100"},
                  {"X-Hawthorndrum-Prompt-Prefix", "aa:8000,bb:1000"}});
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  PrefillDone();
  Head(200);
  Bytes("id: 1\ndata: t\n\n");
  const std::size_t before = upstreams.sent.size();
  Lost();
  EXPECT_GT(upstreams.sent.size(), before);
  ExpectAllFor("acme");
}

TEST_F(TeamsTest, AResumedStreamNamesTheTeam) {
  Add("d", "llm", engine_stage::kDecode);
  Ask("/tell/x", {{"Api-Key", kKey}, {"Last-Event-Id", "3"}, {"Resumes", "q0"}});
  ASSERT_EQ(origins.asked.size(), 1u);
  served.OnOrigin(origins.asked[0], served.fleet().OfService("llm").front()->build);
  ASSERT_EQ(upstreams.sent.size(), 1u);
  ExpectAllFor("acme");
}

TEST_F(TeamsTest, ATeamsPriorityGoesBeforeTheRoutes) {
  AskWith("/pay/x", kKey);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Request-Priority"), "2");
  AskWith("/pay/x", "k-2");
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Request-Priority"), "5");
}

TEST_F(TeamsTest, AKeyThatWasTakenAwayIsRefusedAndWhatRunsGoesOn) {
  const request_id running = AskWith("/pay/x", kKey);
  ConfigureTeams(3, {{"acme", {"k-new"}, {}}});
  EXPECT_EQ(CallerOf(AskWith("/pay/x", kKey)).status, 401);
  Answered("paid");
  EXPECT_EQ(CallerOf(running).status, 200);
}

TEST_F(TeamsTest, ADaemonThatKnowsOfANewerConfigurationNeverSaysThatAKeyOrRouteIsUnknown) {
  HearOfVersion(9);
  EXPECT_EQ(CallerOf(AskWith("/pay/x", "k-new")).status, 503);
  EXPECT_EQ(CallerOf(AskWith("/new/x", kKey)).status, 503);
  AskWith("/pay/x", kKey);
  EXPECT_EQ(upstreams.sent.size(), 1u);
  ConfigureTeams(9, {{"acme", {"k-new"}, {}}});
  EXPECT_EQ(CallerOf(AskWith("/pay/x", "k-3")).status, 401);
  EXPECT_EQ(CallerOf(AskWith("/new/x", "k-new")).status, 404);
}

// Load: a team presses beyond the room of one engine; another one sends a single request.
TEST_F(TeamsTest, ATeamThatPressesIsRefusedAndComesAfterOthers) {
  Add("d", "llm", engine_stage::kDecode);
  const auto ask = [this](const std::string& key) {
    const std::string own = std::to_string(++last_request + 1000);
    return Ask("/note/x", {{"Api-Key", key},
                           {"X-Hawthorndrum-Model", "m"},
                           {"X-Hawthorndrum-Token-Count", "3000,20"},
                           {"X-Hawthorndrum-Prompt-Prefix", own + ":3000"}});
  };
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    refused += CallerOf(ask(kKey)).status == 503 ? 1 : 0;
    Pass(milliseconds(2));
  }
  EXPECT_GT(refused, 50);
  EXPECT_NE(log.LastOf("request_refused").find("over_share"), std::string::npos);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Request-Priority"), "3") << "urgent, but behind others";
  const std::size_t before = upstreams.sent.size();
  ask("k-2");
  ASSERT_EQ(upstreams.sent.size(), before + 1);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Request-Priority"), "5");
}

class RelayedTeamsTest : public TeamsTest {
 protected:
  request_id TakeOver(const std::string& team, std::vector<http_header> more = {}) {
    relay_terms terms;
    terms.host = "g2";
    terms.time_left = seconds(1);
    terms.team = team;
    http_request request;
    request.method = "POST";
    request.target = "/pay/x";
    request.headers = {{"Host", "shop.example"},
                       {"X-Hawthorndrum-Request-Id", "q" + std::to_string(++last_request)}};
    for (http_header& header : more) request.headers.push_back(std::move(header));
    SetRelayTerms(terms, request.headers);
    served.OnPassedOn(request_id(last_request), std::move(request));
    return request_id(last_request);
  }
  relay_outcome SaidTo(request_id id) {
    return TakeRelayAnswer(callers.records[id].headers).outcome;
  }
};

TEST_F(RelayedTeamsTest, TheTeamThatADaemonNamesIsTrusted) {
  TakeOver("blue", {{kTeam, "spoofed"}});
  ASSERT_EQ(upstreams.sent.size(), 1u);
  ExpectAllFor("blue");
}

TEST_F(RelayedTeamsTest, ATeamThatIsNotKnownHereIsDeclined) {
  EXPECT_EQ(SaidTo(TakeOver("green")), relay_outcome::kDeclined);
  Configure(3);
  EXPECT_EQ(SaidTo(TakeOver("blue")), relay_outcome::kDeclined);
  EXPECT_TRUE(upstreams.sent.empty());
}

TEST_F(RelayedTeamsTest, TheKeyThatAnEarlierVersionPassesOnIsChecked) {
  EXPECT_EQ(SaidTo(TakeOver("", {{"Api-Key", "k-3"}})), relay_outcome::kDeclined);
  EXPECT_EQ(SaidTo(TakeOver("")), relay_outcome::kDeclined);
  EXPECT_TRUE(upstreams.sent.empty());
  TakeOver("", {{"Api-Key", kKey}});
  ASSERT_EQ(upstreams.sent.size(), 1u);
  ExpectAllFor("acme");
}

TEST_F(RelayedTeamsTest, ARequestThatIsPassedOnNamesTheTeamForEitherVersion) {
  served.SetDaemons({{"g2", "10.9.0.2:7600", "south"}});
  for (int i = 0;
       i < 60 && (upstreams.sent.empty() || upstreams.sent.back().call.address[3] != '9'); ++i) {
    AskWith("/pay/x", kKey);
    if (last().call.address != "10.9.0.2:7600") Lost(attempt_failure::kNotConnected, false);
    for (const upstream_id id : std::exchange(upstreams.probes, {}))
      served.OnProbeEnded({id, false});
    Pass(milliseconds(100));
  }
  ASSERT_EQ(last().call.address, "10.9.0.2:7600");
  EXPECT_EQ(SentHeader("Hawthorndrum-Relay-Team"), "acme");
  ExpectAllFor("acme");
}

}  // namespace
}  // namespace hawthorndrum
