/// Tests that daemons of this version and of the earlier ones with a folder here read each other's
/// messages.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
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

constexpr char kFolder[] = "tests/message_versions/";
constexpr std::size_t kShortCommit = 7;
/** Neither sends changes of the host list nor writes settled builds. */
constexpr char kBeforeTheFeed[] = "3a2dfa8";

/** Returns the commits with a folder. */
std::vector<std::string> Versions() {
  std::vector<std::string> versions;
  for (const auto& each : std::filesystem::directory_iterator(kFolder)) {
    const std::string name = each.path().filename();
    const bool is_commit = name.size() == kShortCommit &&
                           name.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (is_commit) versions.push_back(name);
  }
  std::sort(versions.begin(), versions.end());
  EXPECT_EQ(std::count(versions.begin(), versions.end(), kBeforeTheFeed), 1);
  EXPECT_GT(versions.size(), 1u);
  return versions;
}

std::string ReadKept(const std::string& version, const std::string& name) {
  std::ifstream file(kFolder + version + "/" + name);
  EXPECT_TRUE(file) << version << " " << name;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

bytes KeptBytes(const std::string& version, const std::string& name) {
  bytes result;
  std::string digits;
  for (const char each : ReadKept(version, name)) {
    if (each == '\n') continue;
    digits += each;
    if (digits.size() < 2) continue;
    result.push_back(static_cast<std::uint8_t>(std::strtoul(digits.c_str(), nullptr, 16)));
    digits.clear();
  }
  return result;
}

std::vector<http_header> KeptHeaders(const std::string& version, const std::string& name) {
  std::vector<http_header> headers;
  std::istringstream lines(ReadKept(version, name));
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(": ");
    headers.push_back({line.substr(0, colon), line.substr(colon + 2)});
  }
  return headers;
}

/** Runs the checks of a test for each version with a folder. */
template <typename Check>
void ForEachVersion(const Check& check) {
  for (const std::string& version : Versions()) {
    SCOPED_TRACE(version);
    check(version);
  }
}

/** Adds an item to the end of an encoded array, as a later version might. */
bytes WithFurtherItem(const bytes& encoded) {
  nlohmann::json items = *DecodeCbor(encoded);
  items.push_back(5u);
  return EncodeCbor(items);
}

// The readers of earlier versions take exactly their formats, so what they read is what they wrote.
TEST(MessageVersions, ThisVersionWritesTheBytesOfTheEarlierOne) {
  ForEachVersion([](const std::string& version) {
    for (const auto& [name, written] : message_samples::Datagrams()) {
      if (name == "feed" && version == kBeforeTheFeed) continue;
      EXPECT_EQ(written, KeptBytes(version, name + ".hex")) << name;
    }
    for (const auto& [name, written] : message_samples::Texts()) {
      if (name == "settled_builds.json" && version == kBeforeTheFeed) continue;
      if (name == "relay_request.txt") continue;  // Compared line by line below.
      EXPECT_EQ(written, ReadKept(version, name)) << name;
    }
  });
}

TEST(MessageVersions, AnEarlierDaemonFindsAllThatItNeedsInARequestPassedOn) {
  // It removes further headers of this prefix and reads these.
  const std::string written = message_samples::TextOf(message_samples::RelayRequest());
  ForEachVersion([&written](const std::string& version) {
    std::istringstream lines(ReadKept(version, "relay_request.txt"));
    for (std::string line; std::getline(lines, line);)
      EXPECT_NE(written.find(line + "\n"), std::string::npos) << line;
  });
  for (const http_header& each : message_samples::RelayRequest())
    EXPECT_EQ(each.name.rfind("Hawthorndrum-Relay-", 0), 0u) << each.name;
}

TEST(MessageVersions, TheLoadNoticesOfTheEarlierVersionAreRead) {
  ForEachVersion([](const std::string& version) {
    const auto notice = DecodeLoadNotice(KeptBytes(version, "load_notice.hex"));
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
    const auto digest = DecodeLoadNotice(KeptBytes(version, "digest.hex"));
    ASSERT_TRUE(digest);
    EXPECT_EQ(digest->covers.size(), 2u);
  });
}

TEST(MessageVersions, TheOriginsOfTheEarlierVersionAreRead) {
  ForEachVersion([](const std::string& version) {
    const auto record = DecodeOriginMessage(KeptBytes(version, "origin_record.hex"));
    ASSERT_TRUE(record);
    EXPECT_EQ(record->kind, origin_message_kind::kRecord);
    ASSERT_EQ(record->origins.size(), 2u);
    EXPECT_EQ(record->origins[0].build, software_build(17));
    EXPECT_FALSE(record->origins[1].build);
    EXPECT_EQ(DecodeOriginMessage(KeptBytes(version, "origin_question.hex"))->kind,
              origin_message_kind::kQuestion);
    EXPECT_EQ(DecodeOriginMessage(KeptBytes(version, "origin_answer.hex"))->kind,
              origin_message_kind::kAnswer);
  });
}

TEST(MessageVersions, TheCrashesOfTheEarlierVersionAreRead) {
  ForEachVersion([](const std::string& version) {
    const auto evidence = DecodeCrashMessage(KeptBytes(version, "crash_evidence.hex"), Now());
    ASSERT_TRUE(evidence);
    ASSERT_EQ(evidence->rows.size(), 1u);
    EXPECT_EQ(evidence->rows[0].about.id, suspect_id(77));
    EXPECT_EQ(evidence->rows[0].sound_at, Now() - seconds(9));
    ASSERT_EQ(evidence->rows[0].losses.size(), 1u);
    EXPECT_EQ(evidence->rows[0].losses[0].at, Now() - seconds(2));
    EXPECT_EQ(DecodeCrashMessage(KeptBytes(version, "crash_answer.hex"), Now())->kind,
              crash_message_kind::kAnswer);
  });
}

TEST(MessageVersions, TheRelayOfTheEarlierVersionIsRead) {
  ForEachVersion([](const std::string& version) {
    auto headers = KeptHeaders(version, "relay_request.txt");
    const auto terms = TakeRelayTerms(headers);
    ASSERT_TRUE(terms);
    EXPECT_EQ(terms->host, "front-1");
    EXPECT_EQ(terms->time_left, milliseconds(2500));
    EXPECT_EQ(terms->runs, 1);
    EXPECT_TRUE(terms->earned);
    EXPECT_EQ(terms->build, software_build(17));
    EXPECT_EQ(terms->last_event_id, "12");
    headers = KeptHeaders(version, "relay_answer.txt");
    const relay_answer answer = TakeRelayAnswer(headers);
    EXPECT_EQ(answer.outcome, relay_outcome::kDeclined);
    EXPECT_EQ(answer.upstream, upstream_id(11));
  });
}

TEST(MessageVersions, TheLeaseOfTheEarlierVersionIsReadAndFurtherFieldsSkipped) {
  ForEachVersion([](const std::string& version) {
    nlohmann::json object = nlohmann::json::parse(ReadKept(version, "lease.json"));
    object["later"] = "field";
    const auto record = DecodeLease(object.dump());
    ASSERT_TRUE(record);
    const lease_record sent = message_samples::Lease();
    EXPECT_EQ(record->term, sent.term);
    EXPECT_EQ(record->holder, sent.holder);
    EXPECT_EQ(record->incarnation, sent.incarnation);
    EXPECT_EQ(record->nonce, sent.nonce);
    EXPECT_EQ(record->length, sent.length);
  });
}

TEST(MessageVersions, TheHostListsChangesAndSettledBuildsOfTheEarlierVersionAreRead) {
  ForEachVersion([](const std::string& version) {
    if (version == kBeforeTheFeed) return;
    const auto feed = DecodeFeedMessage(KeptBytes(version, "feed.hex"));
    ASSERT_TRUE(feed);
    const feed_message sent = message_samples::Feed();
    EXPECT_EQ(feed->to, sent.to);
    EXPECT_EQ(feed->newest_change, sent.newest_change);
    EXPECT_EQ(feed->era, sent.era);
    ASSERT_EQ(feed->changes.size(), 2u);
    EXPECT_EQ(feed->changes[0].content, sent.changes[0].content);
    EXPECT_FALSE(feed->changes[1].content);
    const auto settled = DecodeSettledBuilds(ReadKept(version, "settled_builds.json"));
    ASSERT_TRUE(settled);
    EXPECT_EQ(*settled, message_samples::SettledBuilds());
  });
}

TEST(MessageVersions, UnknownHeadersOfARelayAreRemovedAndUnknownOutcomesPromiseNothing) {
  ForEachVersion([](const std::string& version) {
    std::vector<http_header> headers = KeptHeaders(version, "relay_request.txt");
    headers.push_back({"Hawthorndrum-Relay-Later", "1"});
    EXPECT_TRUE(TakeRelayTerms(headers));
    EXPECT_TRUE(headers.empty());
    headers = {{"Hawthorndrum-Relay-Outcome", "later"}};
    EXPECT_EQ(TakeRelayAnswer(headers).outcome, relay_outcome::kUnknown);
  });
}

TEST(MessageVersions, ADatagramIsOfOneKindOnly) {
  ForEachVersion([](const std::string& version) {
    const bytes feed = EncodeFeedMessage({});
    ASSERT_TRUE(DecodeFeedMessage(feed));
    const bytes kept[] = {KeptBytes(version, "load_notice.hex"),
                          KeptBytes(version, "origin_record.hex"),
                          KeptBytes(version, "crash_evidence.hex"), feed};
    for (std::size_t i = 0; i < std::size(kept); ++i) {
      EXPECT_EQ(DecodeLoadNotice(kept[i]).has_value(), i == 0);
      EXPECT_EQ(DecodeOriginMessage(kept[i]).has_value(), i == 1);
      EXPECT_EQ(DecodeCrashMessage(kept[i], Now()).has_value(), i == 2);
      EXPECT_EQ(DecodeFeedMessage(kept[i]).has_value(), i == 3);
    }
  });
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
  ForEachVersion([](const std::string& version) {
    // The readers of earlier versions refuse them, so what is new goes into messages of its own.
    EXPECT_FALSE(DecodeLoadNotice(WithFurtherItem(KeptBytes(version, "load_notice.hex"))));
    EXPECT_FALSE(
        DecodeCrashMessage(WithFurtherItem(KeptBytes(version, "crash_evidence.hex")), Now()));
  });
}

}  // namespace
}  // namespace hawthorndrum
