/// Tests of upstreams that turn a request away and want no other one of this daemon for a time.
#include <gtest/gtest.h>

#include <set>

#include "answering_upstreams.h"

namespace hawthorndrum {
namespace {

/** Returns the header by which an upstream asks for time. */
http_header Asks(const std::string& seconds) { return {"Retry-After", seconds}; }

/** The bound on the time that is heeded. */
constexpr duration kBound = seconds(30);
/** The longest time from the end of the time asked for until the first call is sent. */
constexpr duration kSpread = milliseconds(250);

class AsksForTimeTest : public AnsweringUpstreamsTest {
 protected:
  static std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: t\n\n"; }
  /** Lists `a` alone, which turns a request away and asks for that time. */
  request_id LetOneAsk(std::vector<http_header> headers) {
    ListOnly({Entry("a")});
    const request_id id = Ask("/pay/x");
    RefuseWith(std::move(headers));
    return id;
  }
  /** Whether `a` gets a request now; it then answers with success. */
  bool IsAskedNow() {
    const std::size_t before = SentCount("a");
    Ask("/look/x");
    if (SentCount("a") == before) return false;
    SucceedWith({});
    return true;
  }
  /** Returns after what time `a` gets its next request, within a tenth of a second. */
  duration NextRequestAfter() {
    const time_point from = clock.Now();
    for (int i = 0; i < 1200 && !IsAskedNow(); ++i) Pass(milliseconds(100));
    return clock.Now() - from;
  }
  double RetryAfterOf(request_id id) {
    const std::string text(FindHeader(CallerOf(id).headers, "Retry-After"));
    return text.empty() ? -1 : std::stod(text);
  }
  std::ptrdiff_t Logged(const std::string& event) const {
    return std::count(log.events.begin(), log.events.end(), event);
  }
};

TEST_F(AsksForTimeTest, ItGetsNothingUntilItsEnd) {
  for (const auto& [value, length] : std::vector<std::pair<std::string, duration>>{
           {"4", seconds(4)}, {"2.5", milliseconds(2500)}, {" 3 ", seconds(3)}}) {
    LetOneAsk({Asks(value)});
    const duration after = NextRequestAfter();
    EXPECT_GE(after, length) << value;
    EXPECT_LE(after, length + kSpread + milliseconds(100)) << value;
  }
}

TEST_F(AsksForTimeTest, ItCountsFromTheHeadOn) {
  ListOnly({Entry("a")});
  Ask("/look/x");
  HeadOf(0, 503, {Asks("4"), {"X-Hawthorndrum-Not-Executed", "1"}});
  Pass(seconds(1));
  Finish(0);
  EXPECT_GE(NextRequestAfter(), seconds(3));
}

TEST_F(AsksForTimeTest, TimesWithoutMeaningAreNotHeeded) {
  for (const char* value :
       {"0", "0.000", "-4", "-0", "", "soon", "4s", "4,5", "4, 5", "+4", "0x9", "1e1", "inf", "nan",
        ".", "4.", "1.2.3", "4 5", "Fri, 04 Dec 2026 10:24:46 GMT"}) {
    LetOneAsk({Asks(value)});
    Pass(milliseconds(2200));
    EXPECT_TRUE(IsAskedNow()) << value;
  }
}

TEST_F(AsksForTimeTest, LongTimesAreBounded) {
  for (const char* value : {"31", "86400", "99999999999999999999", "1000000000.5"}) {
    LetOneAsk({Asks(value)});
    const duration after = NextRequestAfter();
    EXPECT_GE(after, kBound) << value;
    EXPECT_LE(after, kBound + kSpread + milliseconds(100)) << value;
  }
  LetOneAsk({Asks(std::string(400, '9'))});
  EXPECT_GE(NextRequestAfter(), kBound);
}

TEST_F(AsksForTimeTest, TheLongestOfRepeatedHeadersCounts) {
  LetOneAsk({Asks("2"), Asks("6"), Asks("soon"), Asks("4")});
  const duration after = NextRequestAfter();
  EXPECT_GE(after, seconds(6));
  EXPECT_LE(after, seconds(7));
  EXPECT_EQ(Logged("upstream_time_unreadable"), 1);
}

TEST_F(AsksForTimeTest, OnlyItsOwnRefusalCounts) {
  ListOnly({Entry("a")});
  Ask("/look/x");
  SucceedWith({Asks("9")});
  EXPECT_TRUE(IsAskedNow()) << "a success";
  Ask("/look/x");
  RefuseWith({Asks("9")}, 429);
  Pass(milliseconds(200));
  EXPECT_TRUE(IsAskedNow()) << "another status";
  Ask("/look/x");
  RefuseWith({Asks("9"), {"X-Hawthorndrum-Instance-Id", "z"}});
  Pass(milliseconds(2200));
  EXPECT_TRUE(IsAskedNow()) << "another upstream's name";
  Ask("/look/x");
  RefuseWith({Asks("9")}, 421);
  Pass(milliseconds(2200));
  EXPECT_TRUE(IsAskedNow()) << "another upstream";
}

TEST_F(AsksForTimeTest, LaterAnswersDoNotShortenIt) {
  ListOnly({Entry("a")});
  for (int i = 0; i < 4; ++i) Ask("/look/x");
  AnswerWith(0, 503, {Asks("8"), {"X-Hawthorndrum-Not-Executed", "1"}});
  AnswerWith(1, 200, {{"X-Hawthorndrum-Response-Seal", "seal"}});
  AnswerWith(2, 503, {Asks("1"), {"X-Hawthorndrum-Not-Executed", "1"}});
  AnswerWith(3, 503, {{"X-Hawthorndrum-Not-Executed", "1"}});
  EXPECT_GE(NextRequestAfter(), seconds(8));
}

TEST_F(AsksForTimeTest, ALaterLongerOneExtendsIt) {
  ListOnly({Entry("a")});
  for (int i = 0; i < 2; ++i) Ask("/look/x");
  AnswerWith(0, 503, {Asks("2"), {"X-Hawthorndrum-Not-Executed", "1"}});
  Pass(seconds(1));
  AnswerWith(1, 503, {Asks("4"), {"X-Hawthorndrum-Not-Executed", "1"}});
  EXPECT_GE(NextRequestAfter(), seconds(4));
}

TEST_F(AsksForTimeTest, ListsDoNotEndItButANewInstanceStartsClean) {
  LetOneAsk({Asks("9")});
  ListOnly({});
  Pass(seconds(2));
  ASSERT_EQ(served.fleet().FindEntry("a"), nullptr);
  ListOnly({Entry("a")});
  EXPECT_FALSE(IsAskedNow()) << "listed again";
  Configure(2);
  directory.OnStoreRecovered(seconds(5));
  ListOnly({Entry("a")});
  EXPECT_FALSE(IsAskedNow()) << "another configuration, the store regained";
  Pass(seconds(2));
  ListOnly({Entry("b")});
  Ask("/look/x");
  EXPECT_EQ(SentTo(), "b") << "another instance at the address";
  SucceedWith({});
  ListOnly({Entry("a", "desk", 2)});
  EXPECT_TRUE(IsAskedNow()) << "started again";
}

TEST_F(AsksForTimeTest, ItEndsForADaemonThatWasFrozenMeanwhile) {
  LetOneAsk({Asks("9")});
  Delay(seconds(5));
  EXPECT_FALSE(IsAskedNow());
  Delay(seconds(5));
  EXPECT_TRUE(IsAskedNow());
  gateway restarted(Ports());
  EXPECT_TRUE(restarted.fleet().Put(Entry("a")).takes_work(clock.Now()));
}

TEST_F(AsksForTimeTest, CallersAreRefusedAtOnceUntilTheEarliestEnd) {
  ListOnly({Entry("a"), Entry("b")});
  const request_id first = Ask("/pay/x");
  RefuseWith({Asks("8")});
  RefuseWith({Asks("5")});
  EXPECT_EQ(CallerOf(first).status, 503);
  EXPECT_GE(RetryAfterOf(first), 5);
  EXPECT_LE(RetryAfterOf(first), 1.5 * 5.25);
  Pass(seconds(1));
  std::set<double> returns;
  for (int i = 0; i < 20; ++i) {
    const request_id id = Ask(i % 2 == 0 ? "/pay/x" : "/look/x");
    ASSERT_EQ(CallerOf(id).status, 503);
    EXPECT_GE(RetryAfterOf(id), 4);
    EXPECT_LE(RetryAfterOf(id), 1.5 * 4.25);
    EXPECT_NE(CallerOf(id).body.find("upstreams_want_nothing"), std::string::npos);
    returns.insert(RetryAfterOf(id));
  }
  EXPECT_GT(returns.size(), 15u) << "spread over time";
  EXPECT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(served.in_flight(), 0u);
  EXPECT_NE(log.LastOf("request_refused").find(R"("upstream":"b")"), std::string::npos)
      << "the one whose time ends first";
}

TEST_F(AsksForTimeTest, AnotherUpstreamThatIsOnlyBusyIsNoReasonToWaitForTheEnd) {
  ListOnly({Entry("a"), Entry("b")});
  const request_id id = Ask("/pay/x");
  RefuseWith({Asks("9")});
  RefuseWith({});
  EXPECT_EQ(CallerOf(id).status, 503);
  EXPECT_LE(RetryAfterOf(id), 1.5);
}

TEST_F(AsksForTimeTest, CallsAfterTheEndComeOneByOneUntilOneIsAccepted) {
  LetOneAsk({Asks("4")});
  Pass(seconds(4) + kSpread);
  const std::size_t before = SentCount("a");
  for (int i = 0; i < 20; ++i) Ask("/look/x");
  EXPECT_EQ(SentCount("a"), before + 1);
  Pass(milliseconds(500));
  for (int i = 0; i < 20; ++i) Ask("/look/x");
  EXPECT_EQ(SentCount("a"), before + 2) << "a silent call blocks no others for long";
  SucceedWith({});
  for (int i = 0; i < 20; ++i) Ask("/look/x");
  EXPECT_EQ(SentCount("a"), before + 22);
}

TEST_F(AsksForTimeTest, AnUpstreamThatStillWantsNothingAtTheEndCostsOneCall) {
  LetOneAsk({Asks("4")});
  Pass(seconds(4) + kSpread);
  const std::size_t before = SentCount("a");
  Ask("/look/x");
  RefuseWith({Asks("4")});
  Pass(seconds(2));
  for (int i = 0; i < 20; ++i) Ask("/look/x");
  EXPECT_EQ(SentCount("a"), before + 1);
}

TEST_F(AsksForTimeTest, CallsSentBeforeDoNotCountAsAccepted) {
  ListOnly({Entry("a")});
  Ask("/look/x");
  Ask("/look/x");
  AnswerWith(1, 503, {Asks("1"), {"X-Hawthorndrum-Not-Executed", "1"}});
  Pass(seconds(1) + kSpread);
  AnswerWith(0, 200, {{"X-Hawthorndrum-Response-Seal", "seal"}});
  const std::size_t before = SentCount("a");
  for (int i = 0; i < 20; ++i) Ask("/look/x");
  EXPECT_EQ(SentCount("a"), before + 1);
}

TEST_F(AsksForTimeTest, APrefilledPromptGoesToAnotherEngineOrIsRefused) {
  ListOnly({Engine("p", engine_stage::kPrefill), Engine("d", engine_stage::kDecode)});
  const request_id moved = AskPrompt("/note/x", "aa", 9000, 5000);
  const request_id refused = AskPrompt("/note/y", "bb", 9000, 5000);
  ASSERT_EQ(SentCount("p"), 2u);
  AskPrompt("/note/z", "cc", 100, 50);
  ASSERT_EQ(SentTo(), "d");
  RefuseWith({Asks("6")});
  const auto prefilled = [&](std::size_t index) {
    HeadOf(index, 200, {});
    served.OnAttemptBytes({upstreams.sent[index].call.attempt, R"({"handle":"h1"})"});
    Finish(index);
  };
  prefilled(1);
  EXPECT_EQ(CallerOf(refused).status, 503);
  EXPECT_GE(RetryAfterOf(refused), 6);
  EXPECT_EQ(upstreams.notified.size(), 1u) << "its cache is dropped";
  ListOnly({Engine("p", engine_stage::kPrefill), Engine("d", engine_stage::kDecode),
            Engine("e", engine_stage::kDecode)});
  prefilled(0);
  EXPECT_EQ(SentTo(), "e");
  EXPECT_EQ(CallerOf(moved).answers, 0);
  EXPECT_EQ(SentCount("d"), 1u);
}

TEST_F(AsksForTimeTest, APrefillEngineThatAsksForTimeGetsNoPrompt) {
  ListOnly({Engine("p", engine_stage::kPrefill), Engine("d", engine_stage::kDecode)});
  AskPrompt("/note/x", "aa", 9000, 5000);
  ASSERT_EQ(SentTo(), "p");
  RefuseWith({Asks("6")});
  EXPECT_EQ(SentTo(), "d");
  Pass(seconds(1));
  for (int i = 0; i < 5; ++i) AskPrompt("/note/x", "bb" + std::to_string(i), 9000, 5000);
  EXPECT_EQ(SentCount("p"), 1u);
}

TEST_F(AsksForTimeTest, AMovedStreamDoesNotWaitForAnEndBeyondItsDeadline) {
  ListOnly({Engine("d", engine_stage::kDecode), Engine("e", engine_stage::kDecode)});
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  const std::string first = SentTo();
  Head(200);
  Bytes(Event(1));
  AskPrompt("/tell/y", "bb", 100, 50);
  ASSERT_NE(SentTo(), first);
  Pass(milliseconds(1300));
  std::size_t moved = 0;
  for (std::size_t i = 2; i < upstreams.sent.size(); ++i) {
    if (SentTo(upstreams.sent[i]) != first) moved = i;
  }
  ASSERT_NE(moved, 0u);
  ListOnly({Entry("other", "llm", 1, engine_stage::kDecode)});
  AnswerWith(moved, 503, {Asks("20"), {"X-Hawthorndrum-Not-Executed", "1"}});
  if (SentTo() == "other") RefuseWith({Asks("20")});
  EXPECT_EQ(CallerOf(id).aborts, 1);
}

TEST_F(AsksForTimeTest, OtherDaemonsTakeItAsAdviceForAShortTime) {
  LetOneAsk({Asks("9")});
  const load_notice notice = served.MakeNotice();
  ASSERT_EQ(notice.avoided.size(), 1u);
  EXPECT_EQ(notice.avoided[0].reason, avoidance_reason::kWantsTime);
  gateway_ports ports = Ports();
  ports.incarnation = incarnation_id(8);
  gateway other(ports);
  other.SetConfig(MakeConfig(1));
  other.SetFleetKnown();
  other.fleet().Put(Entry("a"));
  other.fleet().Put(Entry("b"));
  other.OnNotice(notice);
  const fleet_upstream* row = other.fleet().FindEntry("a");
  EXPECT_LE(row->avoid_until, clock.Now());
  const auto ask = [&](std::uint64_t id) {
    http_request request;
    request.method = "POST";
    request.target = "/look/x";
    request.headers = {{"Host", "shop.example"}, {"X-Hawthorndrum-Request-Id", "other"}};
    other.OnRequest(request_id(id), std::move(request));
  };
  ask(90);
  EXPECT_EQ(SentTo(), "b") << "the cheaper one, though the later one in the list";
  other.fleet().Remove("b", clock.Now());
  ask(91);
  EXPECT_EQ(SentTo(), "a") << "no ban where there is no other upstream";
  Pass(seconds(2));
  EXPECT_TRUE(served.MakeNotice().avoided.empty()) << "no longer news";
}

TEST_F(AsksForTimeTest, ItIsLoggedAndCounted) {
  LetOneAsk({Asks("40")});
  EXPECT_EQ(log.LastOf("upstream_wants_nothing"),
            R"({"event":"upstream_wants_nothing","upstream":"a","asked_ms":40000,"for_ms":30000})");
  EXPECT_NE(log.LastOf("request_refused").find("upstreams_want_nothing"), std::string::npos);
  EXPECT_EQ(metrics.Counter("gateway_times_asked_total").value(), 1u);
}

TEST_F(AsksForTimeTest, ABurstOfRefusalsIsLoggedOnce) {
  ListOnly({Entry("a")});
  for (int i = 0; i < 10; ++i) Ask("/look/x");
  for (std::size_t i = 0; i < 10; ++i) {
    AnswerWith(i, 503, {Asks("4"), {"X-Hawthorndrum-Not-Executed", "1"}});
    Pass(milliseconds(10));
  }
  EXPECT_EQ(Logged("upstream_wants_nothing"), 1);
  EXPECT_EQ(metrics.Counter("gateway_times_asked_total").value(), 10u);
}

TEST_F(AsksForTimeTest, AnUnreadableTimeIsLoggedOnceAnUpstream) {
  for (int i = 0; i < 3; ++i) {
    LetOneAsk({Asks("soon")});
    Pass(seconds(3));
  }
  EXPECT_EQ(Logged("upstream_time_unreadable"), 1);
  EXPECT_EQ(log.LastOf("upstream_time_unreadable"),
            R"({"event":"upstream_time_unreadable","upstream":"a","value":"soon"})");
  EXPECT_EQ(metrics.Counter("gateway_times_unreadable_total").value(), 3u);
}

}  // namespace
}  // namespace hawthorndrum
