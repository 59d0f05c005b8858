/// Tests of callers' input: bad input gets a clear error and reaches no upstream.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "request_path.h"
#include "systems/request_reader.h"

namespace hawthorndrum {
namespace {

constexpr const char* kTarget = "/services/chat/v1/chat/completions";

struct bad_input {
  const char* name;
  const char* target;
  std::string body;
  std::vector<http_header> headers;
  int status;
};

std::vector<bad_input> BadInputs() {
  const std::string good = R"({"messages":[{"role":"user","content":"x"}]})";
  return {
      {"no JSON", kTarget, "hello", {}, 400},
      {"truncated JSON", kTarget, good.substr(0, good.size() - 3), {}, 400},
      {"empty body", kTarget, "", {}, 400},
      {"wrong UTF-8",
       kTarget,
       "{\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}",
       {},
       400},
      {"an array", kTarget, "[]", {}, 400},
      {"no messages", kTarget, "{}", {}, 400},
      {"messages of a wrong type", kTarget, R"({"messages":"x"})", {}, 400},
      {"a message without role", kTarget, R"({"messages":[{"content":"x"}]})", {}, 400},
      {"stream of a wrong type", kTarget, R"({"stream":1,"messages":[{"role":"user"}]})", {}, 400},
      {"max_tokens 0", kTarget, R"({"max_tokens":0,"messages":[{"role":"user"}]})", {}, 400},
      {"max_tokens negative",
       kTarget,
       R"({"max_tokens":-1,"messages":[{"role":"user"}]})",
       {},
       400},
      {"max_tokens too many",
       kTarget,
       R"({"max_tokens":99999999,"messages":[{"role":"user"}]})",
       {},
       400},
      {"unknown model", kTarget, R"({"model":"z","messages":[{"role":"user"}]})", {}, 404},
      {"model of a wrong type", kTarget, R"({"model":7,"messages":[{"role":"user"}]})", {}, 400},
      {"unknown service", "/services/nobody/v1/chat/completions", good, {}, 404},
      {"unknown path", "/services/chat/v1/embeddings", good, {}, 404},
      {"no service", "/other", good, {}, 404},
      {"empty service", "/services/", good, {}, 404},
      {"bad priority", kTarget, good, {{"X-Priority", "10"}}, 400},
      {"bad deadline", kTarget, good, {{"X-Request-Deadline-Ms", "soon"}}, 400},
      {"deadline 0", kTarget, good, {{"X-Request-Deadline-Ms", "0"}}, 400},
      {"headers too large", kTarget, good, {{"X-Long", std::string(kLongestHeaders, 'x')}}, 431},
      {"body too large", kTarget, std::string(kLongestBody + 1, ' '), {}, 413},
      {"payment without key", "/services/pay/x", "", {}, 400},
      {"key too long", "/services/pay/x", "", {{"Idempotency-Key", std::string(256, 'k')}}, 400},
  };
}

TEST(Input, BadInputIsToldClearlyAndReachesNoUpstream) {
  request_path path;
  path.AddEngine("e:1");
  path.AddWorker("w:1", "pay");
  for (const bad_input& one : BadInputs()) {
    const request_id id = path.Post(one.target, one.body, one.headers);
    const caller_record& caller = path.Caller(id);
    EXPECT_EQ(caller.status, one.status) << one.name;
    EXPECT_TRUE(caller.HasEnded()) << one.name;
    EXPECT_EQ(FindHeader(caller.headers, "Content-Type"), "application/problem+json") << one.name;
    const nlohmann::json problem = nlohmann::json::parse(caller.body, nullptr, false);
    ASSERT_TRUE(problem.is_object()) << one.name;
    EXPECT_EQ(problem["outcome"], "not_run") << one.name;
    EXPECT_FALSE(problem["detail"].get<std::string>().empty()) << one.name;
  }
  EXPECT_TRUE(path.port.sent.empty());
  EXPECT_EQ(path.system->in_flight(), 0U);
}

TEST(Input, EnginesAreToldTheModelThatTheServiceUses) {
  request_path path;
  path.AddEngine("e:1");
  for (const char* model : {"\"chat\"", "\"m\"", "\"\""}) {
    path.Post(kTarget, std::string("{\"model\":") + model +
                           ",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}");
    EXPECT_EQ(nlohmann::json::parse(path.Last().request.body)["model"], "m");
  }
}

RC_GTEST_PROP(Input, AnyBytesAreAnsweredOrSentOn,
              (const std::string& target, const std::string& body, const std::string& key)) {
  request_path path;
  path.AddEngine("e:1");
  path.AddWorker("w:1", "pay");
  for (const std::string& service : {std::string("chat"), std::string("pay")}) {
    path.Post("/services/" + service + "/" + target, body, {{"Idempotency-Key", key}});
    path.Post(kTarget, body, {{"Last-Event-ID", key}, {"traceparent", target}});
  }
  RC_ASSERT(path.callers.records.size() + path.port.sent.size() == 4U);
}

TEST(Trace, EachHopHasASpanInTheCallersTrace) {
  request_path path;
  path.AddEngine("e:1");
  path.Chat("x", true,
            {{"traceparent", "00-0123456789abcdef0123456789abcdef-00f067aa0ba902b7-01"}});
  const std::string passed_on(FindHeader(path.Last().request.headers, "traceparent"));
  EXPECT_EQ(passed_on.substr(0, 36), "00-0123456789abcdef0123456789abcdef-");
  path.Head(path.Last().attempt);
  path.Bytes(path.Last().attempt, request_path::Tokens(0, 1) + request_path::Done());
  ASSERT_EQ(path.traces.spans.size(), 2U);
  const trace_span& request =
      path.traces.spans[0].name == "request" ? path.traces.spans[0] : path.traces.spans[1];
  const trace_span& attempt =
      path.traces.spans[0].name == "attempt" ? path.traces.spans[0] : path.traces.spans[1];
  EXPECT_EQ(request.trace_high, 0x0123456789abcdefU);
  EXPECT_EQ(request.parent, 0x00f067aa0ba902b7U);
  EXPECT_EQ(attempt.parent, request.span);
  EXPECT_NE(passed_on.find("-00f067aa0ba902b7-"), 36U);
}

TEST(Why, TellsWhatWasDecidedOnWhichFigures) {
  request_path path;
  path.AddEngine("e:1");
  path.AddEngine("e:2");
  const request_id id = path.Chat("x");
  path.Lose(path.Last().attempt, true, attempt_failure::kTimeout);
  path.Tick(seconds(1));
  const std::string_view shown = "X-Request-Id";
  path.Head(path.Last().attempt);
  path.Bytes(path.Last().attempt, request_path::Tokens(0, 1) + request_path::Done());
  const std::string name(FindHeader(path.Caller(id).headers, shown));
  const auto report = path.system->why().Report(name);
  ASSERT_TRUE(report.has_value());
  const nlohmann::json& steps = (*report)["steps"];
  ASSERT_EQ(steps.size(), 3U);
  EXPECT_EQ(steps[0]["weighed"].size(), 2U);
  EXPECT_TRUE(steps[0]["weighed"][0].contains("first_token_ms"));
  EXPECT_EQ(steps[1]["what"], "the upstream did not answer");
  EXPECT_FALSE(path.system->why().Report("ffff").has_value());
}

}  // namespace
}  // namespace hawthorndrum
