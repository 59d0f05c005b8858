/// Tests of the matching of upstream events, of plain services and of claims.
#include <gtest/gtest.h>

#include "request_path.h"

namespace hawthorndrum {
namespace {

TEST(Dispatch, PassesAPlainAnswerThrough) {
  request_path path;
  path.AddWorker("w:1", "stock");
  const request_id id = path.Post("/services/stock/check?item=ash", "{}", {{"X-Caller", "phone"}});
  ASSERT_EQ(path.port.sent.size(), 1U);
  EXPECT_EQ(path.Last().request.target, "/check?item=ash");
  EXPECT_EQ(FindHeader(path.Last().request.headers, "X-Caller"), "phone");
  path.Head(path.Last().attempt, 201, {{"Content-Type", "text/plain"}});
  path.Bytes(path.Last().attempt, "12 left");
  path.Finish(path.Last().attempt);
  EXPECT_EQ(path.Caller(id).status, 201);
  EXPECT_EQ(path.Caller(id).body, "12 left");
  EXPECT_EQ(path.Caller(id).answers, 1);
}

TEST(Dispatch, ForeignLateAndRepeatedEventsChangeNothing) {
  request_path path;
  path.AddWorker("w:1", "stock");
  const request_id a = path.Post("/services/stock/x", "same");
  const attempt_id of_a = path.Last().attempt;
  const request_id b = path.Post("/services/stock/x", "same");
  const attempt_id of_b = path.Last().attempt;
  EXPECT_NE(of_a, of_b);
  path.Head(attempt_id(99));
  path.Bytes(attempt_id(99), "foreign");
  path.Finish(attempt_id(99));
  path.Head(of_a, 200);
  path.Head(of_a, 500);
  path.Bytes(of_a, "for a");
  path.Finish(of_a);
  path.Bytes(of_a, "late");
  path.Finish(of_a);
  path.Lose(of_a);
  path.Head(of_b, 200);
  path.Bytes(of_b, "for b");
  path.Finish(of_b);
  EXPECT_EQ(path.Caller(a).body, "for a");
  EXPECT_EQ(path.Caller(b).body, "for b");
  EXPECT_EQ(path.Caller(a).answers, 1);
  EXPECT_EQ(path.callers.records.size(), 2U);
}

TEST(Dispatch, APaymentNeedsAKeyAndRunsOnce) {
  request_path path;
  path.AddWorker("w:1", "pay");
  path.AddWorker("w:2", "pay");
  const request_id without = path.Post("/services/pay/charge", "{}");
  EXPECT_EQ(path.Caller(without).status, 400);
  const request_id id = path.Post("/services/pay/charge", "{}", {{"Idempotency-Key", "k"}});
  ASSERT_EQ(path.port.sent.size(), 1U);
  EXPECT_EQ(FindHeader(path.Last().request.headers, "Idempotency-Key"), "k");
  path.Lose(path.Last().attempt);
  path.Tick(seconds(5));
  EXPECT_EQ(path.port.sent.size(), 1U);
  EXPECT_EQ(path.Caller(id).status, 502);
  EXPECT_NE(path.Caller(id).body.find("\"outcome\":\"unknown\""), std::string::npos);
  EXPECT_EQ(path.claims.records[id].unknown, 1);
  EXPECT_EQ(path.claims.records[id].Reports(), 1);
}

TEST(Dispatch, APaymentOfWhichNothingWasSentGoesElsewhere) {
  request_path path;
  path.AddWorker("w:1", "pay");
  path.AddWorker("w:2", "pay");
  const request_id id = path.Post("/services/pay/charge", "{}", {{"Idempotency-Key", "k"}});
  path.Lose(path.Last().attempt, false, attempt_failure::kNotConnected);
  path.Tick(seconds(1));
  ASSERT_EQ(path.port.sent.size(), 2U);
  EXPECT_NE(path.port.sent[0].address, path.port.sent[1].address);
  path.Head(path.Last().attempt, 200);
  path.Bytes(path.Last().attempt, "paid");
  path.Finish(path.Last().attempt);
  EXPECT_EQ(path.Caller(id).body, "paid");
  EXPECT_EQ(path.claims.records[id].done, 1);
  EXPECT_EQ(path.claims.records[id].answer.body, "paid");
  EXPECT_EQ(path.claims.records[id].Reports(), 1);
}

TEST(Dispatch, APaymentWhoseCallerLeftIsStillSettled) {
  request_path path;
  path.AddWorker("w:1", "pay");
  const request_id id = path.Post("/services/pay/charge", "{}", {{"Idempotency-Key", "k"}});
  path.system->OnCallerGone(id);
  EXPECT_FALSE(path.Last().cancelled);
  path.Head(path.Last().attempt, 200);
  path.Bytes(path.Last().attempt, "paid");
  path.Finish(path.Last().attempt);
  EXPECT_EQ(path.claims.records[id].done, 1);
  EXPECT_EQ(path.system->in_flight(), 0U);
  EXPECT_EQ(path.callers.records.count(id), 0U);
}

TEST(Dispatch, ClaimVerdictsBecomeAnswers) {
  struct expectation {
    claim_verdict verdict;
    int status;
    const char* text;
  };
  const expectation table[] = {{claim_verdict::kAnswered, 200, "paid before"},
                               {claim_verdict::kUnknown, 409, "\"outcome\":\"unknown\""},
                               {claim_verdict::kNotRun, 503, "\"outcome\":\"not_run\""},
                               {claim_verdict::kMismatch, 422, "\"outcome\":\"not_run\""}};
  for (const expectation& one : table) {
    request_path path;
    path.AddWorker("w:1", "pay");
    path.claims.grants_at_once = false;
    const request_id id = path.Post("/services/pay/charge", "{}", {{"Idempotency-Key", "k"}});
    EXPECT_TRUE(path.port.sent.empty());
    path.claims.Decide(id, one.verdict, {200, {}, "paid before"});
    path.Tick();
    EXPECT_TRUE(path.port.sent.empty());
    EXPECT_EQ(path.Caller(id).status, one.status);
    EXPECT_NE(path.Caller(id).body.find(one.text), std::string::npos);
    EXPECT_EQ(path.claims.records[id].Reports(), 0);
  }
}

std::string EarlierText(const char* what) {
  return std::string("\"earlier_requests_with_this_key\":\"") + what + "\"";
}

TEST(Dispatch, NotRunOfAKeyedRequestSaysWhatIsKnownOfEarlierOnes) {
  request_path path;
  path.AddWorker("w:1", "pay");
  path.claims.grants_at_once = false;
  const request_id id = path.Post("/services/pay/charge", "{}", {{"Idempotency-Key", "k"}});
  path.claims.Decide(id, claim_verdict::kNotRun);
  const std::string body = path.Caller(id).body;
  EXPECT_NE(body.find("\"outcome\":\"not_run\""), std::string::npos);
  EXPECT_NE(body.find(EarlierText("unknown")), std::string::npos) << body;
  EXPECT_NE(body.find("again with the same key, never with another one"), std::string::npos);
  EXPECT_NE(body.find("retry_after_ms"), std::string::npos);
}

TEST(Dispatch, NotRunUnderAHeldClaimSaysThatNoEarlierOneRan) {
  request_path path;
  path.AddWorker("w:1", "pay");
  const request_id id = path.Post("/services/pay/charge", "{}", {{"Idempotency-Key", "k"}});
  path.Lose(path.Last().attempt, false, attempt_failure::kNotConnected);
  path.Tick(seconds(61));
  const std::string body = path.Caller(id).body;
  EXPECT_NE(body.find("\"outcome\":\"not_run\""), std::string::npos);
  EXPECT_NE(body.find(EarlierText("none")), std::string::npos) << body;
  EXPECT_NE(body.find("retry_after_ms"), std::string::npos);
}

TEST(Dispatch, DeadlineWhileAnotherAttemptHoldsTheKeyGivesThatAttemptsOutcome) {
  for (const claim_verdict known : {claim_verdict::kUnknown, claim_verdict::kAnswered}) {
    request_path path;
    path.AddWorker("w:1", "pay");
    path.claims.grants_at_once = false;
    path.claims.known_on_forget.verdict = known;
    path.claims.known_on_forget.answer = {200, {}, "paid before"};
    const request_id id = path.Post("/services/pay/charge", "{}", {{"Idempotency-Key", "k"}});
    path.Tick(seconds(61));
    EXPECT_TRUE(path.claims.records[id].forgotten);
    EXPECT_EQ(path.Caller(id).answers, 1);
    EXPECT_EQ(path.Caller(id).body.find("not_run"), std::string::npos) << path.Caller(id).body;
    EXPECT_EQ(path.Caller(id).status, known == claim_verdict::kUnknown ? 409 : 200);
  }
}

TEST(Dispatch, AClaimGrantedTooLateIsReportedNotRun) {
  request_path path;
  path.AddWorker("w:1", "pay");
  path.claims.grants_at_once = false;
  const request_id id = path.Post("/services/pay/charge", "{}", {{"Idempotency-Key", "k"}});
  path.Tick(seconds(61));
  EXPECT_EQ(path.Caller(id).status, 504);
  EXPECT_NE(path.Caller(id).body.find("\"outcome\":\"not_run\""), std::string::npos);
  path.claims.Decide(id, claim_verdict::kGranted);
  path.Tick();
  EXPECT_TRUE(path.port.sent.empty());
  EXPECT_EQ(path.claims.records[id].not_run, 1);
}

}  // namespace
}  // namespace hawthorndrum
