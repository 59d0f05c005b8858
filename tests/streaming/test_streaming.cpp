/// Tests of streams: the parser, resuming, and that a truncated stream never looks complete.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request_path.h"
#include "systems/resume_token.h"

namespace hawthorndrum {
namespace {

TEST(SseParser, FindsEventsWhateverTheCuts) {
  const std::string wire = "id: 1\r\ndata: a\r\n\r\n: note\ndata: b\ndata: c\nevent: x\n\n";
  for (std::size_t cut = 0; cut <= wire.size(); ++cut) {
    sse_parser parser;
    std::vector<sse_event> events;
    EXPECT_TRUE(parser.Feed(wire.substr(0, cut), events));
    EXPECT_TRUE(parser.Feed(wire.substr(cut), events));
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].id, "1");
    EXPECT_EQ(events[0].data, "a");
    EXPECT_EQ(events[1].data, "b\nc");
    EXPECT_EQ(events[1].type, "x");
  }
}

TEST(SseParser, RefusesAnEndlessEvent) {
  sse_parser parser;
  std::vector<sse_event> events;
  EXPECT_FALSE(parser.Feed(std::string(sse_parser::kLongestEvent + 1, 'x'), events));
}

RC_GTEST_PROP(ResumeToken, SurvivesItsText, (std::uint64_t offset, std::uint64_t engine)) {
  const resume_token token{offset, 77, upstream_id(engine)};
  const auto read = ParseResumeToken(ToText(token));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->offset == offset && read->fingerprint == 77U);
  RC_ASSERT(read->engine == upstream_id(engine));
}

RC_GTEST_PROP(ResumeToken, AnyTextIsReadOrRefused, (const std::string& text)) {
  ParseResumeToken(text);
}

TEST(Streaming, PassesTokensAndEndsWithDone) {
  request_path path;
  path.AddEngine("e:1");
  const request_id id = path.Chat("hello");
  ASSERT_EQ(path.port.sent.size(), 1U);
  const attempt_id attempt = path.Last().attempt;
  path.Head(attempt);
  path.Bytes(attempt, request_path::Tokens(0, 3) + request_path::Done());
  path.Finish(attempt);
  EXPECT_TRUE(path.Caller(id).LooksComplete());
  EXPECT_EQ(request_path::DataOf(path.Caller(id).body),
            request_path::DataOf(request_path::Tokens(0, 3) + request_path::Done()));
  EXPECT_EQ(path.system->in_flight(), 0U);
}

/// An engine is lost after `cut` bytes and another resumes the stream; the caller must get the same
/// data as without the loss.
TEST(Streaming, ResumesAtTheExactTokenWhereverTheCut) {
  const std::string whole = request_path::Tokens(0, 5) + request_path::Done();
  for (std::size_t cut = 0; cut < whole.size() - 1; ++cut) {
    request_path path;
    path.AddEngine("e:1");
    path.AddEngine("e:2");
    const request_id id = path.Chat("hello");
    const sent_attempt first = path.Last();
    path.Head(first.attempt);
    path.Bytes(first.attempt, whole.substr(0, cut));
    path.Lose(first.attempt, true, attempt_failure::kTimeout);
    path.Tick(seconds(1));
    ASSERT_EQ(path.port.sent.size(), 2U) << cut;
    const sent_attempt second = path.Last();
    EXPECT_NE(second.address, first.address);
    const std::string offset(FindHeader(second.request.headers, "X-Resume-Offset"));
    const std::uint64_t from = offset.empty() ? 0 : std::stoull(offset);
    path.Head(second.attempt);
    path.Bytes(second.attempt, request_path::Tokens(from, 5) + request_path::Done());
    EXPECT_TRUE(path.Caller(id).LooksComplete());
    EXPECT_EQ(request_path::DataOf(path.Caller(id).body), request_path::DataOf(whole)) << cut;
  }
}

TEST(Streaming, ACutStreamNeverLooksWhole) {
  request_path path;
  path.AddEngine("e:1");
  const request_id id = path.Chat("hello");
  const attempt_id attempt = path.Last().attempt;
  path.Head(attempt);
  path.Bytes(attempt, request_path::Tokens(0, 2));
  // The transfer ends cleanly, but without [DONE].
  path.Finish(attempt);
  const caller_record& caller = path.Caller(id);
  EXPECT_EQ(caller.ends, 0);
  EXPECT_EQ(caller.aborts, 1);
  EXPECT_EQ(caller.body.find("[DONE]"), std::string::npos);
  EXPECT_NE(caller.body.find("event: error"), std::string::npos);
  EXPECT_NE(caller.body.find("\"outcome\":\"unknown\""), std::string::npos);
}

TEST(Streaming, RepeatedTokensAreDroppedAndAGapIsNotPassedOn) {
  request_path path;
  path.AddEngine("e:1");
  path.AddEngine("e:2");
  const request_id id = path.Chat("hello");
  const attempt_id first = path.Last().attempt;
  path.Head(first);
  path.Bytes(first, request_path::Tokens(0, 2) + request_path::Tokens(1, 3));
  path.Bytes(first, request_path::Tokens(4, 5));
  EXPECT_TRUE(path.Last().cancelled);
  path.Tick(seconds(1));
  const sent_attempt second = path.Last();
  EXPECT_EQ(FindHeader(second.request.headers, "X-Resume-Offset"), "3");
  path.Head(second.attempt);
  path.Bytes(second.attempt, request_path::Tokens(3, 5) + request_path::Done());
  EXPECT_EQ(request_path::DataOf(path.Caller(id).body),
            request_path::DataOf(request_path::Tokens(0, 5) + request_path::Done()));
}

TEST(Streaming, AnotherDaemonGoesOnFromLastEventId) {
  request_path killed(1);
  killed.AddEngine("e:1");
  const request_id id = killed.Chat("hello");
  killed.Head(killed.Last().attempt);
  killed.Bytes(killed.Last().attempt, request_path::Tokens(0, 2));
  const std::string& body = killed.Caller(id).body;
  const std::size_t at = body.rfind("id: ") + 4;
  const std::string last = body.substr(at, body.find('\n', at) - at);

  request_path other(2);
  other.AddEngine("e:1");
  other.AddEngine("e:2");
  const request_id resumed = other.Chat("hello", true, {{"Last-Event-ID", last}});
  EXPECT_EQ(other.Last().address, "e:1");
  EXPECT_EQ(FindHeader(other.Last().request.headers, "X-Resume-Offset"), "2");
  other.Head(other.Last().attempt);
  other.Bytes(other.Last().attempt, request_path::Tokens(2, 4) + request_path::Done());
  EXPECT_EQ(request_path::DataOf(other.Caller(resumed).body),
            request_path::DataOf(request_path::Tokens(2, 4) + request_path::Done()));

  const request_id foreign = other.Chat("another body", true, {{"Last-Event-ID", last}});
  EXPECT_EQ(other.Caller(foreign).status, 409);
}

}  // namespace
}  // namespace hawthorndrum
