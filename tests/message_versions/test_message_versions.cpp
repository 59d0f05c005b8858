/// Tests that daemons of this version and of commit 3a2dfa8 read each other's messages.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "base/cbor.h"
#include "feed/feed_message.h"
#include "message_samples.h"
#include "resumes/settled_builds.h"

namespace hawthorndrum {
namespace {

using message_samples::Now;
using bytes = std::vector<std::uint8_t>;

std::string ReadKept(const std::string& name) {
  std::ifstream file("tests/message_versions/3a2dfa8/" + name);
  EXPECT_TRUE(file) << name;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

bytes KeptBytes(const std::string& name) {
  bytes result;
  std::string digits;
  for (const char each : ReadKept(name)) {
    if (each == '\n') continue;
    digits += each;
    if (digits.size() < 2) continue;
    result.push_back(static_cast<std::uint8_t>(std::strtoul(digits.c_str(), nullptr, 16)));
    digits.clear();
  }
  return result;
}

std::vector<http_header> KeptHeaders(const std::string& name) {
  std::vector<http_header> headers;
  std::istringstream lines(ReadKept(name));
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(": ");
    headers.push_back({line.substr(0, colon), line.substr(colon + 2)});
  }
  return headers;
}

std::string TextOf(const std::vector<http_header>& headers) {
  std::string text;
  for (const http_header& each : headers) text += each.name + ": " + each.value + "\n";
  return text;
}

/** Adds an item to the end of an encoded array, as a later version might. */
bytes WithFurtherItem(const bytes& encoded) {
  nlohmann::json items = *DecodeCbor(encoded);
  items.push_back(5u);
  return EncodeCbor(items);
}

// The readers of 3a2dfa8 take exactly its formats, so what it reads is what it wrote.
TEST(MessageVersions, ThisVersionWritesTheBytesOfTheEarlierOne) {
  using message_samples::Crashes;
  using message_samples::Origins;
  EXPECT_EQ(EncodeLoadNotice(message_samples::LoadNotice()), KeptBytes("load_notice.hex"));
  EXPECT_EQ(EncodeLoadNotice(message_samples::Digest()), KeptBytes("digest.hex"));
  EXPECT_EQ(EncodeOriginMessage(Origins(origin_message_kind::kRecord)),
            KeptBytes("origin_record.hex"));
  EXPECT_EQ(EncodeOriginMessage(Origins(origin_message_kind::kQuestion)),
            KeptBytes("origin_question.hex"));
  EXPECT_EQ(EncodeOriginMessage(Origins(origin_message_kind::kAnswer)),
            KeptBytes("origin_answer.hex"));
  EXPECT_EQ(EncodeCrashMessage(Crashes(crash_message_kind::kEvidence), Now()),
            KeptBytes("crash_evidence.hex"));
  EXPECT_EQ(EncodeCrashMessage(Crashes(crash_message_kind::kAnswer), Now()),
            KeptBytes("crash_answer.hex"));
  EXPECT_EQ(TextOf(message_samples::RelayAnswer()), ReadKept("relay_answer.txt"));
  EXPECT_EQ(EncodeLease(message_samples::Lease()) + "\n", ReadKept("lease.json"));
}

TEST(MessageVersions, AnEarlierDaemonFindsAllThatItNeedsInARequestPassedOn) {
  // It removes further headers of this prefix and reads these.
  const std::string written = TextOf(message_samples::RelayRequest());
  std::istringstream lines(ReadKept("relay_request.txt"));
  for (std::string line; std::getline(lines, line);)
    EXPECT_NE(written.find(line + "\n"), std::string::npos) << line;
  for (const http_header& each : message_samples::RelayRequest())
    EXPECT_EQ(each.name.rfind("Hawthorndrum-Relay-", 0), 0u) << each.name;
}

TEST(MessageVersions, TheLoadNoticesOfTheEarlierVersionAreRead) {
  const auto notice = DecodeLoadNotice(KeptBytes("load_notice.hex"));
  ASSERT_TRUE(notice);
  const load_notice sent = message_samples::LoadNotice();
  EXPECT_EQ(notice->sender, sent.sender);
  EXPECT_EQ(notice->sequence, sent.sequence);
  EXPECT_EQ(notice->host, sent.host);
  EXPECT_EQ(notice->config_version, sent.config_version);
  EXPECT_EQ(notice->fleet_revision, sent.fleet_revision);
  ASSERT_EQ(notice->work.size(), 1u);
  EXPECT_EQ(notice->work[0].work.unread_tokens, 1200u);
  ASSERT_EQ(notice->avoided.size(), 1u);
  EXPECT_EQ(notice->avoided[0].reason, avoidance_reason::kWantsTime);
  ASSERT_EQ(notice->limits.size(), 1u);
  EXPECT_EQ(notice->limits[0].per_second, 2.5);
  ASSERT_EQ(notice->demand.size(), 1u);
  EXPECT_EQ(notice->demand[0].service, "llm");
  const auto digest = DecodeLoadNotice(KeptBytes("digest.hex"));
  ASSERT_TRUE(digest);
  EXPECT_EQ(digest->covers.size(), 2u);
}

TEST(MessageVersions, TheOriginsOfTheEarlierVersionAreRead) {
  const auto record = DecodeOriginMessage(KeptBytes("origin_record.hex"));
  ASSERT_TRUE(record);
  EXPECT_EQ(record->kind, origin_message_kind::kRecord);
  ASSERT_EQ(record->origins.size(), 2u);
  EXPECT_EQ(record->origins[0].build, software_build(17));
  EXPECT_FALSE(record->origins[1].build);
  EXPECT_EQ(DecodeOriginMessage(KeptBytes("origin_question.hex"))->kind,
            origin_message_kind::kQuestion);
  EXPECT_EQ(DecodeOriginMessage(KeptBytes("origin_answer.hex"))->kind,
            origin_message_kind::kAnswer);
}

TEST(MessageVersions, TheCrashesOfTheEarlierVersionAreRead) {
  const auto evidence = DecodeCrashMessage(KeptBytes("crash_evidence.hex"), Now());
  ASSERT_TRUE(evidence);
  ASSERT_EQ(evidence->rows.size(), 1u);
  EXPECT_EQ(evidence->rows[0].about.id, suspect_id(77));
  EXPECT_EQ(evidence->rows[0].sound_at, Now() - seconds(9));
  ASSERT_EQ(evidence->rows[0].losses.size(), 1u);
  EXPECT_EQ(evidence->rows[0].losses[0].at, Now() - seconds(2));
  EXPECT_EQ(DecodeCrashMessage(KeptBytes("crash_answer.hex"), Now())->kind,
            crash_message_kind::kAnswer);
}

TEST(MessageVersions, TheRelayOfTheEarlierVersionIsRead) {
  auto headers = KeptHeaders("relay_request.txt");
  const auto terms = TakeRelayTerms(headers);
  ASSERT_TRUE(terms);
  EXPECT_EQ(terms->host, "front-1");
  EXPECT_EQ(terms->time_left, milliseconds(2500));
  EXPECT_EQ(terms->runs, 1);
  EXPECT_TRUE(terms->earned);
  EXPECT_EQ(terms->build, software_build(17));
  EXPECT_EQ(terms->last_event_id, "12");
  headers = KeptHeaders("relay_answer.txt");
  const relay_answer answer = TakeRelayAnswer(headers);
  EXPECT_EQ(answer.outcome, relay_outcome::kDeclined);
  EXPECT_EQ(answer.upstream, upstream_id(11));
}

TEST(MessageVersions, TheLeaseOfTheEarlierVersionIsReadAndFurtherFieldsSkipped) {
  nlohmann::json object = nlohmann::json::parse(ReadKept("lease.json"));
  object["later"] = "field";
  const auto record = DecodeLease(object.dump());
  ASSERT_TRUE(record);
  const lease_record sent = message_samples::Lease();
  EXPECT_EQ(record->term, sent.term);
  EXPECT_EQ(record->holder, sent.holder);
  EXPECT_EQ(record->incarnation, sent.incarnation);
  EXPECT_EQ(record->nonce, sent.nonce);
  EXPECT_EQ(record->length, sent.length);
}

TEST(MessageVersions, UnknownHeadersOfARelayAreRemovedAndUnknownOutcomesPromiseNothing) {
  std::vector<http_header> headers = KeptHeaders("relay_request.txt");
  headers.push_back({"Hawthorndrum-Relay-Later", "1"});
  EXPECT_TRUE(TakeRelayTerms(headers));
  EXPECT_TRUE(headers.empty());
  headers = {{"Hawthorndrum-Relay-Outcome", "later"}};
  EXPECT_EQ(TakeRelayAnswer(headers).outcome, relay_outcome::kUnknown);
}

TEST(MessageVersions, ADatagramIsOfOneKindOnly) {
  const bytes feed = EncodeFeedMessage({});
  ASSERT_TRUE(DecodeFeedMessage(feed));
  const bytes kept[] = {KeptBytes("load_notice.hex"), KeptBytes("origin_record.hex"),
                        KeptBytes("crash_evidence.hex"), feed};
  for (std::size_t i = 0; i < std::size(kept); ++i) {
    EXPECT_EQ(DecodeLoadNotice(kept[i]).has_value(), i == 0);
    EXPECT_EQ(DecodeOriginMessage(kept[i]).has_value(), i == 1);
    EXPECT_EQ(DecodeCrashMessage(kept[i], Now()).has_value(), i == 2);
    EXPECT_EQ(DecodeFeedMessage(kept[i]).has_value(), i == 3);
  }
}

TEST(MessageVersions, MessagesSinceThenSkipFurtherItems) {
  EXPECT_TRUE(DecodeFeedMessage(WithFurtherItem(EncodeFeedMessage({}))));
  nlohmann::json record = nlohmann::json::parse(EncodeSettledBuilds({}));
  record["later"] = 1;
  EXPECT_TRUE(DecodeSettledBuilds(record.dump()));
  record["format"] = 2;
  EXPECT_FALSE(DecodeSettledBuilds(record.dump())) << "another format may mean something else";
}

TEST(MessageVersions, TheFormatsOfTheEarlierVersionHaveNoRoomForFurtherItems) {
  // The reader of 3a2dfa8 refuses them, so what is new goes into messages of its own.
  EXPECT_FALSE(DecodeLoadNotice(WithFurtherItem(KeptBytes("load_notice.hex"))));
  EXPECT_FALSE(DecodeCrashMessage(WithFurtherItem(KeptBytes("crash_evidence.hex")), Now()));
}

}  // namespace
}  // namespace hawthorndrum
