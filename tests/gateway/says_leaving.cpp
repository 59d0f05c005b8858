/// Tests of upstreams that say in their answers that they leave: they get no new work from then on,
/// whatever the host list says.
#include <gtest/gtest.h>

#include "answering_upstreams.h"

namespace hawthorndrum {
namespace {

const http_header kLeaving{"Server-Leaving", "1"};

class SaysLeavingTest : public AnsweringUpstreamsTest {
 protected:
  static std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: t\n\n"; }
  /** Lists `a`, which says that it leaves, and then also `b`. */
  void LetOneLeave() {
    ListOnly({Entry("a")});
    Ask("/look/x");
    SucceedWith({kLeaving});
    ListOnly({Entry("a"), Entry("b")});
  }
  /** Whether `a` gets any of many requests. */
  bool GetsWork() { return ShareOf("a", 20) > 0; }
};

TEST_F(SaysLeavingTest, AnyOfItsAnswersCounts) {
  const std::vector<std::pair<int, std::vector<http_header>>> answers = {
      {200, {{"X-Hawthorndrum-Response-Seal", "seal"}}},
      {500, {}},
      {404, {{"X-Hawthorndrum-Response-Seal", "seal"}}},
      {503, {{"X-Hawthorndrum-Not-Executed", "1"}}},
      {429, {{"X-Hawthorndrum-Not-Executed", "1"}}}};
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const std::string id = "leaver" + std::to_string(i);
    ListOnly({Entry(id)});
    Ask("/pay/x");
    ASSERT_EQ(SentTo(), id);
    std::vector<http_header> headers = answers[i].second;
    headers.push_back({"server-leaving", "1"});
    AnswerWith(upstreams.sent.size() - 1, answers[i].first, headers);
    Pass(seconds(3));
    EXPECT_EQ(CallerOf(Ask("/look/x")).status, 503) << answers[i].first;
    EXPECT_EQ(SentCount(id), 1u) << answers[i].first;
  }
}

TEST_F(SaysLeavingTest, ItCountsFromTheHeadOn) {
  ListOnly({Entry("a")});
  Ask("/look/x");
  ListOnly({Entry("a"), Entry("b")});
  HeadOf(0, 200, {kLeaving, {"X-Hawthorndrum-Response-Seal", "seal"}});
  EXPECT_FALSE(GetsWork());
  Finish(0);
  EXPECT_FALSE(GetsWork());
}

TEST_F(SaysLeavingTest, EntriesDoNotWithdrawIt) {
  LetOneLeave();
  EXPECT_FALSE(GetsWork());
  directory.Put(Entry("a"));
  EXPECT_FALSE(GetsWork()) << "an entry that says ready";
  upstream_entry leaving = Entry("a");
  leaving.leaving = true;
  directory.Put(leaving);
  directory.Put(Entry("a"));
  EXPECT_FALSE(GetsWork()) << "leaving, then ready";
  directory.Remove("a");
  directory.Put(Entry("a"));
  EXPECT_FALSE(GetsWork()) << "listed again";
  Configure(2);
  EXPECT_FALSE(GetsWork()) << "another configuration";
}

TEST_F(SaysLeavingTest, LossAndReturnOfTheStoreDoNotWithdrawIt) {
  LetOneLeave();
  Pass(seconds(5));
  EXPECT_FALSE(GetsWork());
  directory.OnStoreRecovered(seconds(5));
  ListOnly({Entry("b")});
  EXPECT_FALSE(GetsWork()) << "no expiry grace";
  ListOnly({Entry("a"), Entry("b")});
  EXPECT_FALSE(GetsWork());
}

TEST_F(SaysLeavingTest, AnOlderCopyOfTheStoreDoesNotWithdrawItAfterItsRowWasErased) {
  LetOneLeave();
  ListOnly({Entry("b")});
  Pass(seconds(2));
  ASSERT_EQ(served.fleet().FindEntry("a"), nullptr);
  ListOnly({Entry("a"), Entry("b")});
  EXPECT_FALSE(GetsWork());
  Pass(seconds(3600));
  ListOnly({Entry("b")});
  Pass(seconds(2));
  ListOnly({Entry("a"), Entry("b")});
  EXPECT_FALSE(GetsWork());
}

TEST_F(SaysLeavingTest, ANewInstanceAtItsAddressStartsClean) {
  LetOneLeave();
  ListOnly({Entry("c")});
  Ask("/look/x");
  EXPECT_EQ(SentTo(), "c") << "another id at the same address";
  SucceedWith({});
  ListOnly({Entry("a", "desk", 2)});
  Ask("/look/x");
  EXPECT_EQ(SentTo(), "a") << "the same id, started again";
  SucceedWith({});
  ListOnly({Entry("a", "desk", 1), Entry("b")});
  EXPECT_FALSE(GetsWork()) << "an older copy of the list";
}

TEST_F(SaysLeavingTest, AnswersOfOtherUpstreamsDoNotCount) {
  ListOnly({Entry("a")});
  Ask("/look/x");
  RefuseWith({kLeaving}, 421);
  Pass(seconds(3));
  Ask("/look/x");
  EXPECT_EQ(SentCount("a"), 2u) << "status 421";
  RefuseWith({kLeaving, {"X-Hawthorndrum-Instance-Id", "z"}});
  Pass(seconds(3));
  Ask("/look/x");
  EXPECT_EQ(SentCount("a"), 3u) << "another upstream's name";
  SucceedWith({kLeaving, {"X-Hawthorndrum-Instance-Id", "a"}});
  Ask("/look/x");
  EXPECT_EQ(SentCount("a"), 3u) << "its own name";
}

TEST_F(SaysLeavingTest, OtherValuesDoNotCount) {
  ListOnly({Entry("a")});
  for (const char* value : {"", "0", "no", "11"}) {
    Ask("/look/x");
    SucceedWith({{"Server-Leaving", value}});
  }
  EXPECT_EQ(SentCount("a"), 4u);
  Ask("/look/x");
  SucceedWith({{"Server-Leaving", "0"}, {"Server-Leaving", " 1 "}});
  Ask("/look/x");
  EXPECT_EQ(SentCount("a"), 5u) << "said in the second of two headers";
}

TEST_F(SaysLeavingTest, ALaterAnswerWithoutItDoesNotWithdrawIt) {
  ListOnly({Entry("a")});
  Ask("/look/x");
  Ask("/look/y");
  ListOnly({Entry("a"), Entry("b")});
  AnswerWith(1, 200, {kLeaving, {"X-Hawthorndrum-Response-Seal", "seal"}});
  AnswerWith(0, 200, {{"X-Hawthorndrum-Response-Seal", "seal"}});
  EXPECT_FALSE(GetsWork());
}

TEST_F(SaysLeavingTest, RetriesGoElsewhere) {
  ListOnly({Entry("a")});
  Ask("/look/x");
  ListOnly({Entry("a"), Entry("b")});
  const request_id retried = Ask("/pay/y");
  ASSERT_EQ(SentTo(), "b");
  HeadOf(0, 200, {kLeaving, {"X-Hawthorndrum-Response-Seal", "seal"}});
  RefuseWith({});
  EXPECT_EQ(SentCount("a"), 1u);
  EXPECT_EQ(CallerOf(retried).status, 503);
}

TEST_F(SaysLeavingTest, RunningStreamsGoOnAndSilentOnesDoNotMoveThere) {
  ListOnly({Engine("d", engine_stage::kDecode)});
  const request_id runs = AskPrompt("/tell/x", "aa", 100, 50);
  HeadOf(0, 200, {kLeaving, {"X-Hawthorndrum-Response-Seal", "seal"}});
  Bytes(Event(1));
  ListOnly({Engine("d", engine_stage::kDecode), Engine("e", engine_stage::kDecode)});
  AskPrompt("/tell/y", "bb", 100, 50);
  ASSERT_EQ(SentTo(), "e");
  for (int i = 2; i < 14; ++i) {
    Pass(milliseconds(150));
    served.OnAttemptBytes({upstreams.sent[0].call.attempt, Event(i)});
  }
  EXPECT_EQ(upstreams.sent.size(), 2u) << "nowhere to move to";
  Finish(0);
  EXPECT_EQ(CallerOf(runs).ends, 1);
}

TEST_F(SaysLeavingTest, ItGetsNoPrefillAndNoPrefilledPrompt) {
  ListOnly({Engine("p", engine_stage::kPrefill), Engine("d", engine_stage::kDecode)});
  AskPrompt("/note/x", "aa", 9000, 5000);
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  ListOnly({Engine("p", engine_stage::kPrefill), Engine("d", engine_stage::kDecode),
            Engine("e", engine_stage::kDecode)});
  const std::size_t prefilling = upstreams.sent.size() - 1;
  AskPrompt("/note/y", "bb", 100, 50);
  const std::string leaver = SentTo();
  ASSERT_NE(leaver, "p");
  HeadOf(upstreams.sent.size() - 1, 200, {kLeaving, {"X-Hawthorndrum-Response-Seal", "seal"}});
  HeadOf(prefilling, 200, {kLeaving});
  served.OnAttemptBytes({upstreams.sent[prefilling].call.attempt, R"({"handle":"h1"})"});
  Finish(prefilling);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Kv-Source"), "10.0.0.1:80/h1");
  EXPECT_NE(SentTo(), leaver);
  for (int i = 0; i < 5; ++i) AskPrompt("/note/z", "cc" + std::to_string(i), 9000, 5000);
  EXPECT_EQ(SentCount("p"), 1u);
  EXPECT_EQ(SentCount(leaver), 1u);
}

TEST_F(SaysLeavingTest, ItGetsNoResumedStream) {
  ListOnly({Engine("d", engine_stage::kDecode)});
  AskPrompt("/tell/x", "aa", 100, 50);
  HeadOf(0, 200, {kLeaving, {"X-Hawthorndrum-Response-Seal", "seal"}});
  Bytes(Event(1));
  const request_id resumed = Ask("/tell/x", {{"X-Hawthorndrum-Model", "m"},
                                             {"X-Hawthorndrum-Token-Count", "150,100"},
                                             {"X-Hawthorndrum-Prompt-Prefix", "aa:100,bb:50"},
                                             {"Last-Event-Id", "1"},
                                             {"Resumes", "q1"}});
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(CallerOf(resumed).status, 503);
}

TEST_F(SaysLeavingTest, OtherDaemonsAreToldAndAvoidItWithoutABan) {
  LetOneLeave();
  const load_notice notice = served.MakeNotice();
  ASSERT_EQ(notice.avoided.size(), 1u);
  EXPECT_EQ(notice.avoided[0].reason, avoidance_reason::kLeaving);
  gateway_ports ports = Ports();
  ports.incarnation = incarnation_id(8);
  gateway other(ports);
  other.fleet().Put(Entry("a"));
  other.OnNotice(notice);
  const fleet_upstream* row = other.fleet().FindEntry("a");
  EXPECT_GT(row->avoid_until, clock.Now());
  EXPECT_LE(row->avoid_until, clock.Now() + milliseconds(500));
  EXPECT_TRUE(row->takes_work(clock.Now()));
}

TEST_F(SaysLeavingTest, ADaemonThatWasFrozenKeepsItAndARestartedOneStartsClean) {
  LetOneLeave();
  Delay(seconds(600));
  EXPECT_FALSE(GetsWork());
  gateway restarted(Ports());
  EXPECT_TRUE(restarted.fleet().Put(Entry("a")).takes_work(clock.Now()));
}

TEST_F(SaysLeavingTest, ItIsLoggedOnceAndAgainWhenItIsListedAgain) {
  LetOneLeave();
  EXPECT_EQ(log.LastOf("upstream_leaving"),
            R"({"event":"upstream_leaving","upstream":"a","source":"answer","age_ms":0})");
  const auto logged = [this] {
    return std::count(log.events.begin(), log.events.end(), "upstream_leaving");
  };
  EXPECT_EQ(logged(), 1);
  ListOnly({Entry("b")});
  Pass(seconds(2));
  ListOnly({Entry("a"), Entry("b")});
  EXPECT_EQ(logged(), 2);
  EXPECT_EQ(log.LastOf("upstream_leaving"),
            R"({"event":"upstream_leaving","upstream":"a","source":"listed_again","age_ms":2000})");
  EXPECT_EQ(metrics.Counter("gateway_upstreams_leaving_total").value(), 1u);
}

TEST(DepartedStatements, TheLastDepartedInstancesAreKept) {
  const time_point now(seconds(9));
  departed_statements kept;
  upstream_statements said;
  kept.Keep(upstream_id(1), said, now);
  EXPECT_EQ(kept.size(), 0u) << "said nothing";
  said.leaving_since = time_point(seconds(1));
  for (std::uint64_t i = 1; i <= departed_statements::kMaxInstances + 1; ++i)
    kept.Keep(upstream_id(i), said, now);
  EXPECT_EQ(kept.size(), departed_statements::kMaxInstances);
  EXPECT_FALSE(kept.Take(upstream_id(1)).leaving_since);
  EXPECT_TRUE(kept.Take(upstream_id(2)).leaving_since);
  EXPECT_FALSE(kept.Take(upstream_id(2)).leaving_since) << "its row has it now";
}

}  // namespace
}  // namespace hawthorndrum
