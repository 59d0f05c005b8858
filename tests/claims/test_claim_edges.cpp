/// Tests of claims at their outer interfaces: malformed data from peers and the store, size
/// limits, and the admin section.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "claim_fleet.h"
#include "systems/claim_admin.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

const claim_name kPayment{"pay", "k1"};

claim_record SomeRecord() {
  claim_record record;
  record.name = kPayment;
  record.attempt = attempt_id(5);
  record.claimant = queued_peers::IdOf(1);
  record.incarnation = incarnation_id(2);
  record.state = claim_state::kDone;
  record.answer = {200, {{"a", "b"}}, "body"};
  return record;
}

std::vector<peer_message> SomeMessages() {
  claim_forward forward;
  forward.buckets = claim_layout().buckets;
  forward.change.record = SomeRecord();
  forward.max_wait = seconds(1);
  claim_result result;
  result.attempt = attempt_id(5);
  result.present = SomeRecord();
  claim_query_answer answer;
  answer.answer = SomeRecord().answer;
  return {Encode(forward), Encode(claim_forward_result{result}), Encode(claim_query{}),
          Encode(answer)};
}

RC_GTEST_PROP(ClaimEdges, MalformedPeerMessagesNeitherThrowNorGrant, ()) {
  claim_fleet fleet(2);
  fleet.Settle(5);
  const request_id request = fleet.Claim(0, kPayment);
  const auto messages = SomeMessages();
  for (int i = 0; i < 50; ++i) {
    peer_message message = messages[*rc::gen::inRange<std::size_t>(0, messages.size())];
    const auto changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes && !message.body.empty(); ++change) {
      const auto position = *rc::gen::inRange<std::size_t>(0, message.body.size());
      message.body[position] = *rc::gen::arbitrary<std::uint8_t>();
    }
    if (*rc::gen::inRange(0, 4) == 0) message.body = *rc::gen::arbitrary<std::vector<uint8_t>>();
    fleet.at(0).claims->OnPeerMessage(queued_peers::IdOf(1), message);
  }
  fleet.Settle(60);
  RC_ASSERT(fleet.ledger().duplicate_decisions == 0);
  RC_ASSERT(fleet.ledger().decisions.count(request) == 1U);
}

RC_GTEST_PROP(ClaimEdges, MalformedBucketIsRefusedAndNeverOverwritten, ()) {
  claim_options options;
  options.layout = {1, 1};
  claim_fleet fleet(1, options);
  fleet.Settle(5);
  store_call malformed;
  malformed.operation = store_operation::kCreate;
  malformed.key = BucketKey(0);
  const auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
  malformed.value = std::string(bytes.begin(), bytes.end());
  RC_PRE(!DecodeBucket(malformed.value).has_value());
  fleet.store().Apply(malformed);
  const request_id request = fleet.Claim(0, kPayment);
  fleet.Settle();
  RC_ASSERT(fleet.ledger().decisions.at(request).verdict == claim_verdict::kNotRun);
  RC_ASSERT(fleet.store().objects().at(BucketKey(0)).value == malformed.value);
}

TEST(ClaimEdges, BucketSurvivesEncodingAndItsSizeIsNotUnderrated) {
  claim_bucket bucket;
  bucket.epoch = 9;
  bucket.RaiseMoves(3);
  for (const claim_state state :
       {claim_state::kClaimed, claim_state::kDone, claim_state::kUnknown}) {
    claim_record record = SomeRecord();
    record.name.key = std::string(1, static_cast<char>(200 + static_cast<int>(state)));
    record.state = state;
    bucket.records[record.name] = record;
  }
  const std::string value = EncodeBucket(bucket);
  EXPECT_LE(value.size(), StoredSize(bucket));
  const auto decoded = DecodeBucket(value);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeBucket(*decoded), value);
  EXPECT_EQ(decoded->records.size(), 3u);
  EXPECT_EQ(decoded->Moves(3), 1u);
}

/** An open claim whose claimant was killed. */
class orphans : public testing::Test {
 protected:
  orphans() : fleet(2), admin(*fleet.at(1).claims) {
    first = fleet.Claim(0, kPayment);
    fleet.Settle(10);
    fleet.Kill(0);
    Act("load", {});
    fleet.Settle(40);
  }
  expected<json> Act(std::string_view verb, const json& more) {
    json arguments = {{"service", "pay"}, {"key", "k1"}};
    arguments.update(more.is_null() ? json::object() : more);
    return admin.Act(verb, arguments);
  }
  std::string Attempt() { return admin.Report("pay/k1").value()["attempt"]; }

  claim_fleet fleet;
  claim_admin admin;
  request_id first;
};

TEST_F(orphans, OperatorSettlesAsNotRunAndTheNextTryRuns) {
  ASSERT_TRUE(Act("settle", {{"attempt", Attempt()}, {"state", "not_run"}}).has_value());
  fleet.Settle();
  const request_id next = fleet.Claim(1, kPayment);
  fleet.Settle();
  EXPECT_EQ(fleet.ledger().decisions.at(next).verdict, claim_verdict::kGranted);
}

TEST_F(orphans, OperatorSettlesAsDoneAndResendsAreToldSo) {
  ASSERT_TRUE(Act("settle", {{"attempt", Attempt()}, {"state", "done"}}).has_value());
  fleet.Settle();
  const request_id next = fleet.Claim(1, kPayment);
  fleet.Settle();
  EXPECT_EQ(fleet.ledger().decisions.at(next).verdict, claim_verdict::kAnswered);
  EXPECT_EQ(fleet.ledger().decisions.at(next).answer.status, 0);
}

TEST_F(orphans, SettlingAnotherAttemptOrWithoutFieldsIsRefused) {
  EXPECT_FALSE(Act("settle", {{"attempt", "12345"}, {"state", "done"}}).has_value());
  EXPECT_FALSE(Act("settle", {{"attempt", Attempt()}, {"state", "maybe"}}).has_value());
  EXPECT_FALSE(Act("settle", {{"state", "done"}}).has_value());
  EXPECT_FALSE(Act("forget", {}).has_value());
  EXPECT_FALSE(admin.Act("settle", json::array()).has_value());
  fleet.Settle();
  EXPECT_EQ(fleet.Stored(kPayment)->state, claim_state::kClaimed);
}

TEST(ClaimEdges, OperatorCannotSettleWhatALivingDaemonHolds) {
  claim_fleet fleet(2);
  fleet.Claim(0, kPayment);
  fleet.Settle(10);
  for (int daemon = 0; daemon < 2; ++daemon) {
    claim_admin admin(*fleet.at(daemon).claims);
    admin.Act("load", {{"service", "pay"}, {"key", "k1"}});
    fleet.Settle(40);
    const std::string attempt = admin.Report("pay/k1").value()["attempt"];
    const auto settled = admin.Act(
        "settle", {{"service", "pay"}, {"key", "k1"}, {"attempt", attempt}, {"state", "not_run"}});
    EXPECT_FALSE(settled.has_value());
  }
}

TEST(ClaimEdges, ReportListsOpenClaimsAsValidText) {
  claim_fleet fleet(1);
  fleet.Claim(0, {"pay", "k\xff\n1"});
  fleet.Settle(10);
  claim_admin admin(*fleet.at(0).claims);
  const json report = admin.Report("").value();
  ASSERT_EQ(report["open_seen"].size(), 1u);
  EXPECT_EQ(report["open_seen"][0]["key"], "k\\xff\\x0a1");
  EXPECT_EQ(report["own"][0]["phase"], "granted");
  EXPECT_NO_THROW(report.dump());
}

TEST(ClaimEdges, BoundsRefuseAsNotRun) {
  claim_options options;
  options.max_attempts = 3;
  claim_fleet fleet(1, options);
  std::vector<request_id> requests;
  requests.reserve(5);
  for (int i = 0; i < 5; ++i) requests.push_back(fleet.Claim(0, {"pay", std::to_string(i)}));
  const request_id long_key = fleet.Claim(0, {"pay", std::string(1000, 'k')});
  fleet.Settle(10);
  EXPECT_EQ(fleet.ledger().decisions.at(requests[2]).verdict, claim_verdict::kGranted);
  EXPECT_EQ(fleet.ledger().decisions.at(requests[4]).verdict, claim_verdict::kNotRun);
  EXPECT_EQ(fleet.ledger().decisions.at(long_key).verdict, claim_verdict::kNotRun);
}

TEST(ClaimEdges, FullBucketRefusesNewClaimsAndStillSettlesOpenOnes) {
  claim_options options;
  options.layout = {1, 1};
  options.commit.bucket.max_bytes = 1200;
  claim_fleet fleet(1, options);
  int granted = 0;
  for (int i = 0; i < 12; ++i) {
    const request_id request = fleet.Claim(0, {"pay", std::to_string(i)});
    fleet.Settle(10);
    if (fleet.ledger().decisions.at(request).verdict == claim_verdict::kGranted) granted += 1;
  }
  EXPECT_GT(granted, 1);
  EXPECT_LT(granted, 12);
  for (const request_id request : fleet.at(0).granted) fleet.Finish(0, request);
  fleet.Settle();
  EXPECT_TRUE(fleet.at(0).claims->attempts().empty());
  EXPECT_EQ(fleet.Violations(), "");
}

}  // namespace
}  // namespace hawthorndrum
