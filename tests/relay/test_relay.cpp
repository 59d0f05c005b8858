/// Tests of the headers between daemons and of the choice of the daemon that serves a request.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake_clock.h"
#include "fake_random_source.h"
#include "relay/relay_headers.h"
#include "relay/relay_peers.h"

namespace hawthorndrum {
namespace {

constexpr int kFleet = 410;
constexpr int kDataCentres = 5;

std::vector<daemon_record> Daemons(int count) {
  std::vector<daemon_record> made;
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    made.push_back(
        {"host-" + number, "10.0.0.1:" + number, "dc" + std::to_string(i % kDataCentres)});
  }
  return made;
}

TEST(RelayHeaders, TermsSurviveTheWayAndReplaceWhatACallerSent) {
  relay_terms terms;
  terms.host = "g1";
  terms.time_left = milliseconds(812);
  terms.runs = 2;
  terms.earned = true;
  terms.build = software_build(~std::uint64_t{0});
  terms.last_event_id = "17";
  std::vector<http_header> headers = {{"Host", "shop"}, {"hawthorndrum-relay-runs", "9"}};
  SetRelayTerms(terms, headers);
  const auto read = TakeRelayTerms(headers);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->host, "g1");
  EXPECT_EQ(read->time_left, milliseconds(812));
  EXPECT_EQ(read->runs, 2);
  EXPECT_TRUE(read->earned);
  EXPECT_EQ(read->build, terms.build);
  EXPECT_EQ(read->last_event_id, "17");
  ASSERT_EQ(headers.size(), 1u);
  EXPECT_EQ(headers[0].name, "Host");
}

TEST(RelayHeaders, IncompleteOrMalformedTermsAreNone) {
  for (const char* text : {"", "x", "-1", "1.5", "1 ", "99999999999999999999999"}) {
    std::vector<http_header> headers = {{"Hawthorndrum-Relay-Host", "g1"},
                                        {"Hawthorndrum-Relay-Runs", "0"},
                                        {"Hawthorndrum-Relay-Time-Left-Ms", text}};
    EXPECT_FALSE(TakeRelayTerms(headers)) << text;
    EXPECT_TRUE(headers.empty());
  }
}

TEST(RelayHeaders, AnUnknownOutcomeIsNoPromise) {
  for (const char* text : {"", "not_run", "REFUSED", "refused "}) {
    std::vector<http_header> headers = {{"Hawthorndrum-Relay-Outcome", text}};
    EXPECT_EQ(TakeRelayAnswer(headers).outcome, relay_outcome::kUnknown) << text;
  }
  for (const relay_outcome outcome :
       {relay_outcome::kAnswered, relay_outcome::kRefused, relay_outcome::kDeclined,
        relay_outcome::kUnavailable, relay_outcome::kUnknown}) {
    std::vector<http_header> headers;
    SetRelayAnswer({outcome, upstream_id(5)}, headers);
    const relay_answer read = TakeRelayAnswer(headers);
    EXPECT_EQ(read.outcome, outcome);
    EXPECT_EQ(read.upstream, upstream_id(5));
  }
}

class RelayPeersTest : public testing::Test {
 protected:
  fake_clock clock;
  fake_random_source random;
};

// A data centre of 82 of 410 daemons is cut off: each of its daemons passes all its requests on.
TEST_F(RelayPeersTest, ACutDataCentreOverwhelmsNobodyAndKeepsFewConnections) {
  constexpr int kRequests = 200;
  const std::vector<daemon_record> all = Daemons(kFleet);
  const auto is_cut = [](const daemon_record& each) { return each.data_centre == "dc0"; };
  std::map<std::string, int> load;
  int asked = 0;
  for (const daemon_record& self : all) {
    if (!is_cut(self)) continue;
    std::vector<daemon_record> others = all;
    others.erase(std::find_if(others.begin(), others.end(),
                              [&](const daemon_record& each) { return each.name == self.name; }));
    relay_peers peers(self.name, random);
    peers.SetDaemons(others);
    std::set<std::string> partners;
    for (int i = 0; i < kRequests; ++i) {
      std::vector<std::string> tried;
      while (true) {
        const auto chosen = peers.Choose(tried, clock.Now());
        ASSERT_TRUE(chosen);
        ++asked;
        tried.push_back(chosen->name);
        partners.insert(chosen->name);
        if (!is_cut(*chosen)) break;
        peers.OnUnavailable(chosen->name, clock.Now());
      }
      load[tried.back()] += 1;
    }
    EXPECT_LE(partners.size(), relay_peers::kRanked);
  }
  // A daemon that serves its own callers gets no more than as many again.
  for (const auto& [name, count] : load) EXPECT_LE(count, kRequests) << name;
  EXPECT_LE(asked, 82 * kRequests * 11 / 10);
}

TEST_F(RelayPeersTest, ExcludedDaemonsAreAskedAgainLaterAndUnreachableOnesEverMoreSeldom) {
  relay_peers peers("self", random);
  peers.SetDaemons(Daemons(1));
  EXPECT_TRUE(peers.Choose({}, clock.Now()));
  EXPECT_FALSE(peers.Choose({"host-0"}, clock.Now()));
  peers.OnUnavailable("host-0", clock.Now());
  EXPECT_FALSE(peers.Choose({}, clock.Now()));
  clock.Advance(relay_peers::kUnavailableExclusion);
  EXPECT_TRUE(peers.Choose({}, clock.Now()));
  int tries = 0;
  for (int i = 0; i < 600; ++i) {
    clock.Advance(milliseconds(100));
    if (!peers.Choose({}, clock.Now())) continue;
    ++tries;
    // Calls that fail together count once.
    for (int call = 0; call < 5; ++call) peers.OnUnreachable("host-0", clock.Now());
  }
  EXPECT_GE(tries, 27);
  EXPECT_LE(tries, 34);
  peers.OnAnswered("host-0");
  clock.Advance(relay_peers::kMaxExclusion);
  EXPECT_TRUE(peers.Choose({}, clock.Now()));
}

TEST_F(RelayPeersTest, ASilentDaemonIsChosenOnlyIfThereIsNoOther) {
  relay_peers peers("self", random);
  peers.SetDaemons(Daemons(2));
  peers.OnSilent("host-0", clock.Now());
  for (int i = 0; i < 20; ++i) EXPECT_EQ(peers.Choose({}, clock.Now())->name, "host-1");
  EXPECT_EQ(peers.Choose({"host-1"}, clock.Now())->name, "host-0");
}

TEST_F(RelayPeersTest, TheLessBusyOneOfTwoIsChosenAndAChangedListKeepsWhatIsKnown) {
  relay_peers peers("self", random);
  peers.SetDaemons(Daemons(2));
  for (int i = 0; i < 10; ++i) peers.OnSent("host-0");
  peers.SetDaemons(Daemons(3));
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) chosen[peers.Choose({"host-2"}, clock.Now())->name] += 1;
  EXPECT_GT(chosen["host-1"], chosen["host-0"]);
}

}  // namespace
}  // namespace hawthorndrum
