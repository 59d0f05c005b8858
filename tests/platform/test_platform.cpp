/// Tests decoding the platform's objects and headers: well-formed, corrupted and from other
/// writers.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "config_decoder.h"
#include "entry_decoder.h"
#include "gateway/gateway_config.h"
#include "gateway/gateway_settings.h"
#include "platform_dialect.h"

namespace hawthorndrum {
namespace {

using nlohmann::json;

json Entry() {
  return json::parse(R"({"service":"s","addr":"10.1.2.3:80","zone":"north","version":"v1",
    "slots":64,"state":"ready","cold_left_ms":0,"phase":"decode","seq":4,"born":1790000000123})");
}

TEST(EntryDecoder, ReadsAnEngine) {
  const auto entry = DecodeEntry("i-1", Entry());
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry->id, "i-1");
  EXPECT_EQ(entry->data_centre, "north");
  EXPECT_EQ(entry->stage, engine_stage::kDecode);
  EXPECT_EQ(entry->born, 1790000000123u);
  EXPECT_FALSE(entry->leaving);
}

TEST(EntryDecoder, EntriesOfOtherWritersNameNoUpstream) {
  const std::vector<std::pair<std::string, json>> changes = {
      {"service", 7},        {"service", nullptr}, {"addr", "nowhere"}, {"addr", ""},
      {"state", "sleeping"}, {"state", 1},         {"slots", "many"},   {"slots", -1},
      {"phase", "both"},     {"born", 1.5},        {"born", "x"},       {"zone", json::array()}};
  for (const auto& [field, value] : changes) {
    json entry = Entry();
    entry[field] = value;
    EXPECT_FALSE(DecodeEntry("i-1", entry)) << field << " " << value;
  }
  for (const char* field : {"service", "addr", "zone", "slots", "state"}) {
    json entry = Entry();
    entry.erase(field);
    EXPECT_FALSE(DecodeEntry("i-1", entry)) << field;
  }
  for (const json& other : {json(), json(3), json("x"), json::array()}) {
    EXPECT_FALSE(DecodeEntry("i-1", other));
  }
}

json Config() {
  return json::parse(R"({"version":7,"routes":[
    {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"stream","timeout_ms":3000,
     "goal_ms":1000,"priority":1,"service":"s","attempts":1,"sticky":true,"resumable":false,
     "gap_aim_ms":200},
    {"name":"r2","host":"h.example","path_prefix":"/a/b/","kind":"safe","timeout_ms":5000,
     "goal_ms":600,"priority":2,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],
     "attempts":2}],
    "services":[{"name":"s","health_path":"/health","max_conns":370,"engine":{"slots":64,
     "kv_capacity":502249,"kv_token_bytes":163840,"link_mbps":1900000.0,"handle_ttl_s":5.0}},
     {"name":"t","health_path":"/health","max_conns":110}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
     "idle_timeout_ms":15000}})");
}

TEST(ConfigDecoder, ReadsRoutesServicesAndLimits) {
  const auto config = DecodeConfig(Config());
  ASSERT_TRUE(config);
  EXPECT_EQ((*config)->version, 7u);
  const route* deep = (*config)->FindRoute("h.example", "/a/b/c");
  ASSERT_NE(deep, nullptr);
  EXPECT_EQ(deep->name, "r2");
  EXPECT_EQ(deep->targets.size(), 2u);
  EXPECT_EQ((*config)->FindRoute("h.example", "/a/x")->longest_pause, milliseconds(200));
  EXPECT_EQ((*config)->FindRoute("h.example", "/b/"), nullptr);
  EXPECT_EQ((*config)->FindRoute("other.example", "/a/x"), nullptr);
  EXPECT_TRUE((*config)->FindService("s")->is_engine);
  EXPECT_FALSE((*config)->FindService("t")->is_engine);
  EXPECT_EQ((*config)->limits.idle_timeout, seconds(15));
}

RC_GTEST_PROP(ConfigDecoderProperties, TornTextIsRefusedOrRead, ()) {
  std::string text = Config().dump();
  text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
  DecodeConfig(json::parse(text, nullptr, false));
}

TEST(PlatformDialect, ReadsWhatAPromptSharesWithOthers) {
  http_request request;
  request.headers = {{"X-Hawthorndrum-Token-Count", "1460,80"},
                     {"X-Hawthorndrum-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}};
  const caller_terms terms = platform_dialect().TakeCallerTerms(request);
  ASSERT_TRUE(terms.asked);
  EXPECT_EQ(terms.asked->tokens(), 1460u);
  EXPECT_EQ(terms.asked->output_tokens, 80u);
  EXPECT_NE(terms.asked->shared_key(), 0u);
}

TEST(PlatformDialect, UnreadablePromptsAreStillForwarded) {
  for (const char* parts : {"x", "zz:1", "1:-4", ":", "1:2,,"}) {
    http_request request;
    request.headers = {{"X-Hawthorndrum-Token-Count", "10,2"},
                       {"X-Hawthorndrum-Prompt-Prefix", parts}};
    EXPECT_FALSE(platform_dialect().TakeCallerTerms(request).asked) << parts;
    EXPECT_EQ(request.headers.size(), 2u);
  }
}

TEST(PlatformDialect, NotRunIsOnlyWhatTheUpstreamStates) {
  const platform_dialect dialect;
  EXPECT_TRUE(dialect.ReadAnswer(503, {{"X-Hawthorndrum-Not-Executed", "1"}}).not_run);
  EXPECT_TRUE(dialect.ReadAnswer(421, {}).not_run);
  EXPECT_FALSE(dialect.ReadAnswer(503, {}).not_run);
  EXPECT_FALSE(dialect.ReadAnswer(429, {}).not_run);
}

TEST(PlatformDialect, ReadsThatAnUpstreamLeavesInAnyAnswer) {
  const platform_dialect dialect;
  for (const int status : {200, 404, 421, 500, 503})
    EXPECT_TRUE(dialect.ReadAnswer(status, {{"server-leaving", "1"}}).leaving) << status;
  EXPECT_TRUE(dialect.ReadAnswer(200, {{"Server-Leaving", "0"}, {"Server-Leaving", " 1"}}).leaving);
  for (const char* value : {"", "0", "true", "1, 1", "11"})
    EXPECT_FALSE(dialect.ReadAnswer(200, {{"Server-Leaving", value}}).leaving) << value;
  EXPECT_FALSE(dialect.ReadAnswer(200, {}).leaving);
}

TEST(PlatformDialect, ReadsTheTimeThatAnUpstreamAsksFor) {
  const platform_dialect dialect;
  const auto read = [&](std::vector<http_header> headers, int status = 503) {
    return dialect.ReadAnswer(status, headers);
  };
  for (const auto& [value, time] :
       std::vector<std::pair<std::string, duration>>{{"3", seconds(3)},
                                                     {"0.25", milliseconds(250)},
                                                     {" 1.5 ", milliseconds(1500)},
                                                     {"0", duration(0)},
                                                     {"007", seconds(7)},
                                                     {"86401", seconds(86400)},
                                                     {"1e", duration(0)},
                                                     {"", duration(0)},
                                                     {"-3", duration(0)},
                                                     {"2, 3", duration(0)},
                                                     {"0.0000001", duration(0)},
                                                     {"0x10", duration(0)},
                                                     {"nan", duration(0)},
                                                     {"1.", duration(0)},
                                                     {".5", duration(0)}}) {
    EXPECT_EQ(read({{"retry-after", value}}).wants_nothing_for, time) << value;
  }
  EXPECT_EQ(read({{"Retry-After", std::string(4000, '9')}}).wants_nothing_for, seconds(86400));
  for (const char* value : {"3", "0", "0.0", "99999999999999999999"})
    EXPECT_FALSE(read({{"Retry-After", value}}).unreadable_time) << value;
  for (const char* value : {"", "-3", "2, 3", "soon", "1e", "Fri, 04 Dec 2026 10:24:46 GMT"})
    EXPECT_EQ(read({{"Retry-After", value}}).unreadable_time, value);
  const answer_terms several =
      read({{"Retry-After", "2"}, {"Retry-After", "x"}, {"Retry-After", "5"}});
  EXPECT_EQ(several.wants_nothing_for, seconds(5));
  EXPECT_EQ(several.unreadable_time, "x");
  for (const int status : {200, 421, 429, 500, 504})
    EXPECT_EQ(read({{"Retry-After", "3"}}, status).wants_nothing_for, duration(0)) << status;
}

TEST(GatewaySettings, ReportsEverythingThatIsWrongTogether) {
  findings found;
  ReadGatewaySettings("s.yaml", "host: a\ncallers: nowhere\nretries:\n  ratio: x\nodd: 1\n", found);
  const std::string text = found.ToText();
  for (const char* part : {"callers", "ratio", "odd", "data_centre", "store"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << " in " << text;
  }
}

TEST(GatewaySettings, ReadsWhatTheTemplateRenders) {
  findings found;
  const gateway_settings settings = ReadGatewaySettings(
      "s.yaml",
      "host: \"front-1\"\ndata_centre: \"north\"\ncallers: \"10.1.0.38:8149\"\n"
      "readiness: \"10.1.0.38:8141\"\nnotices: \"10.1.0.38:7380\"\nmetrics: \"10.1.0.38:9464\"\n"
      "store: \"10.200.1.7:8142\"\nstop_grace: 8s\nleaving_known_within: 3000ms\n"
      "file_limit: 4100\n"
      "retries:\n  ratio: 0.2\n  reserve: 56\n  window: 10s\n",
      found);
  EXPECT_TRUE(found.empty()) << found.ToText();
  EXPECT_EQ(settings.stop_grace, seconds(8));
  EXPECT_EQ(settings.leaving_known_within, seconds(3));
  EXPECT_EQ(settings.retries.reserve, 56);
}

}  // namespace
}  // namespace hawthorndrum
