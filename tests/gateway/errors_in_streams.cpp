/// Tests of streams that have begun and break off, when the next upstream sends something else.
#include <gtest/gtest.h>

#include "gateway_fixture.h"
#include "relay/relay_headers.h"

namespace hawthorndrum {
namespace {

struct next_answer {
  const char* name;
  int status;
  std::vector<http_header> headers;
  std::string body;
};

void PrintTo(const next_answer& answer, std::ostream* to) { *to << answer.name; }

const http_header kSealed{"X-Hawthorndrum-Response-Seal", "seal"};
const http_header kEvents{"Content-Type", "text/event-stream; charset=utf-8"};
const http_header kProblem{"Content-Type", "application/problem+json"};
const std::string kErrorHead =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\n";

/** Answers that do not continue a stream of status 200 after its event 2. */
std::vector<next_answer> OtherAnswers() {
  return {{"sealed error", 500, {kSealed}, "sorry\n\n"},
          {"unsealed error", 502, {}, "sorry\n\n"},
          {"sealed refusal of the request", 404, {kSealed}, "sorry\n\n"},
          {"error that claims to be events", 500, {kSealed, kEvents}, "id: 3\ndata: t\n\n"},
          {"success without a seal", 200, {}, "id: 3\ndata: t\n\n"},
          {"problem with a successful status", 200, {kSealed, kProblem}, "{\n\n\"title\":1}\n\n"},
          {"success without content", 204, {kSealed}, ""},
          {"part of a document", 206, {kSealed}, "id: 3\ndata: t\n\n"},
          {"error text as an event", 200, {kSealed, kEvents}, "upstream failed\n\n"},
          {"head as an event", 200, {kSealed, kEvents}, kErrorHead + "sorry\n"},
          {"head after an event", 200, {kSealed}, "id: 3\ndata: t\n\n" + kErrorHead},
          {"JSON as an event", 200, {kSealed}, "{\"title\":\"sorry\"}\n\n"},
          {"events from the start", 200, {kSealed, kEvents}, "id: 1\ndata: t\n\n"},
          {"the last event again", 200, {kSealed, kEvents}, "id: 2\ndata: t\n\n"}};
}

class ErrorsInStreamsTest : public GatewayFixtureTest {
 protected:
  static std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: t\n\n"; }
  void Answer(const next_answer& with) {
    const attempt_id attempt = last().call.attempt;
    served.OnAttemptHead({attempt, with.status, with.headers});
    if (!with.body.empty()) served.OnAttemptBytes({attempt, with.body});
    served.OnAttemptFinished({attempt});
  }
  /** The caller has got events of the stream and nothing else, and sees that it is cut. */
  void ExpectCut(request_id id, const std::string& name) {
    const caller_record& caller = CallerOf(id);
    EXPECT_EQ(caller.answers, 0) << name;
    EXPECT_EQ(caller.begins, 1) << name;
    EXPECT_EQ(caller.ends, 0) << name;
    EXPECT_EQ(caller.aborts, 1) << name;
    const bool is_of_stream =
        caller.body == Event(1) + Event(2) || caller.body == Event(1) + Event(2) + Event(3);
    EXPECT_TRUE(is_of_stream) << name << ": " << caller.body;
  }
  /** Breaks a stream off that began here, when this daemon reaches no upstream any more. */
  request_id BreakOffCutOff() {
    served.SetDaemons({{"g2", "10.9.0.2:7600", "south"}});
    for (const char* id : {"d", "e", "f"}) Add(id, "llm", engine_stage::kDecode);
    const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
    const attempt_id attempt = last().call.attempt;
    served.OnAttemptHead({attempt, 200, {kSealed}});
    served.OnAttemptBytes({attempt, Event(1) + Event(2)});
    std::size_t handled = upstreams.sent.size();
    while (!served.is_cut_off()) {
      AskPrompt("/note/x", "aa", 100, 50);
      for (; handled < upstreams.sent.size(); ++handled)
        served.OnAttemptLost(
            {upstreams.sent[handled].call.attempt, attempt_failure::kNotConnected, false});
      for (const upstream_id each : std::exchange(upstreams.probes, {}))
        served.OnProbeEnded({each, false});
      Pass(milliseconds(100));
    }
    served.OnAttemptLost({attempt, attempt_failure::kConnectionLost, true});
    while (last().call.address != "10.9.0.2:7600") Lost(attempt_failure::kNotConnected, false);
    return id;
  }
};

// Guards against an error of the next upstream in the middle of a stream, and against the end of a
// stream that is not whole.
TEST_F(ErrorsInStreamsTest, OnlyTheRestOfTheStreamIsAppended) {
  for (const char* id : {"d", "e"}) Add(id, "llm", engine_stage::kDecode);
  for (const next_answer& next : OtherAnswers()) {
    const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
    const std::size_t sent = upstreams.sent.size();
    Head(200);
    Bytes(Event(1) + Event(2));
    Lost();
    ASSERT_EQ(upstreams.sent.size(), sent + 1) << next.name;
    Answer(next);
    ExpectCut(id, next.name);
    Pass(seconds(4));
  }
}

// Guards against a stream that is cut although a third upstream could have continued it.
TEST_F(ErrorsInStreamsTest, TheStreamGoesOnAtTheUpstreamAfterTheNext) {
  const auto config = MakeConfig(2);
  for (route& each : config->routes) each.attempts = 3;
  served.SetConfig(config);
  for (const char* id : {"d", "e", "f", "g"}) Add(id, "llm", engine_stage::kDecode);
  for (const next_answer& next : OtherAnswers()) {
    const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
    const std::size_t sent = upstreams.sent.size();
    Head(200);
    Bytes(Event(1) + Event(2));
    Lost();
    Answer(next);
    ASSERT_EQ(upstreams.sent.size(), sent + 2) << next.name;
    const int last_event = std::stoi(std::string(SentHeader("Last-Event-Id")));
    Head(200);
    for (int event = last_event + 1; event <= 4; ++event) Bytes(Event(event));
    Done();
    EXPECT_EQ(CallerOf(id).body, Event(1) + Event(2) + Event(3) + Event(4)) << next.name;
    EXPECT_EQ(CallerOf(id).ends, 1) << next.name;
    Pass(seconds(4));
  }
}

// An answer that is no stream is still the upstream's answer if nothing was sent before.
TEST_F(ErrorsInStreamsTest, APlainAnswerToAStreamIsForwardedWhole) {
  Add("d", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/note/x", "aa", 100, 50);
  Answer({"", 200, {kSealed, kProblem}, "{\n\n\"title\":1}"});
  EXPECT_EQ(CallerOf(id).answers, 1);
  EXPECT_EQ(CallerOf(id).status, 200);
  EXPECT_EQ(CallerOf(id).body, "{\n\n\"title\":1}");
}

class ErrorsFromDaemonsTest : public ErrorsInStreamsTest,
                              public testing::WithParamInterface<next_answer> {};

// The same for the answer of a daemon that has taken the request over.
TEST_P(ErrorsFromDaemonsTest, OnlyTheRestOfTheStreamIsAppended) {
  const request_id id = BreakOffCutOff();
  next_answer relayed = GetParam();
  SetRelayAnswer({relay_outcome::kAnswered, {}}, relayed.headers);
  Answer(relayed);
  ExpectCut(id, GetParam().name);
}

// Guards against a success that a daemon passes on without saying whose answer it is.
TEST_F(ErrorsInStreamsTest, AnAnswerOfAnotherDaemonWithoutItsOutcomeIsNotAppended) {
  const request_id id = BreakOffCutOff();
  Answer({"", 200, {kSealed}, Event(3)});
  ExpectCut(id, "no outcome");
}

INSTANTIATE_TEST_SUITE_P(OtherAnswers, ErrorsFromDaemonsTest, testing::ValuesIn(OtherAnswers()));

}  // namespace
}  // namespace hawthorndrum
