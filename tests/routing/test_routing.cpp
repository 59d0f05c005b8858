/// Tests of routing: which upstreams may get work, cached prefixes, and how load reports and the
/// daemon's own work count.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "request_path.h"
#include "systems/prefix_chain.h"

namespace hawthorndrum {
namespace {

void Serve(request_path& path, std::uint64_t tokens = 1) {
  path.Head(path.Last().attempt);
  path.Bytes(path.Last().attempt, request_path::Tokens(0, tokens) + request_path::Done());
}

RC_GTEST_PROP(Routing, OnlyUpstreamsThatMayTakeItGetWork, ()) {
  request_path path;
  const auto count = *rc::gen::inRange(1, 9);
  std::set<std::string> fit;
  for (int i = 0; i < count; ++i) {
    const std::string address = "e:" + std::to_string(i);
    upstream& row = path.AddEngine(address);
    const int drawn = *rc::gen::inRange(0, 8);
    row.leaving.peer = drawn == 1;
    row.planned_change = drawn == 2;
    row.reserved_for_suspect = drawn == 3;
    if (drawn == 4) row.report.models.clear();
    if (drawn == 5) row.data_centre = "elsewhere";
    if (drawn == 6) row.has_report = false;
    if (drawn == 7) row.avoid_until = path.time.Now() + seconds(100);
    if (drawn == 0) fit.insert(address);
  }
  path.Tick();
  path.Tick(upstream_index::kMaxSettlingTime);
  for (int i = 0; i < 10; ++i) path.Chat("x" + std::to_string(i));
  for (const sent_attempt& one : path.port.sent) RC_ASSERT(fit.count(one.address) == 1U);
  RC_ASSERT(path.port.sent.empty() == fit.empty());
}

TEST(Routing, SpillsToOtherDataCentresOnlyWhenTheServiceSaysSo) {
  request_path path;
  path.AddEngine("e:1").data_centre = "elsewhere";
  const request_id refused = path.Chat("x");
  EXPECT_EQ(path.Caller(refused).status, 503);
  service_config spills = *path.config.Find("chat");
  spills.spill = true;
  path.config.Put(spills);
  path.Chat("x");
  EXPECT_EQ(path.port.sent.size(), 1U);
}

TEST(Routing, TakesTheLessLoadedOfItsCandidates) {
  request_path path;
  path.AddEngine("e:1").report.queued_prefill_tokens = 30000;
  path.AddEngine("e:2");
  for (int i = 0; i < 20; ++i) {
    path.Chat("x" + std::to_string(i), true, {{"X-Priority", "5"}});
    EXPECT_EQ(path.Last().address, "e:2");
    Serve(path);
  }
}

TEST(Routing, OwnWorkSinceTheReportCounts) {
  request_path path;
  path.AddEngine("e:1");
  path.AddEngine("e:2");
  path.Tick(milliseconds(10));
  std::map<std::string, int> sent;
  const std::string prompt(4000, 'p');
  for (int i = 0; i < 8; ++i) path.Chat(std::to_string(i) + prompt);
  for (const sent_attempt& one : path.port.sent) sent[one.address] += 1;
  EXPECT_EQ(sent["e:1"], 4);
  EXPECT_EQ(sent["e:2"], 4);
}

TEST(Routing, GoesWhereThePrefixIsCached) {
  request_path path;
  for (int i = 0; i < 8; ++i) path.AddEngine("e:" + std::to_string(i));
  const std::string catalogue(5 * kPieceBytes, 'c');
  path.Chat(catalogue + "question 0");
  const std::string holder = path.Last().address;
  Serve(path);
  for (int i = 1; i < 20; ++i) {
    path.Chat(catalogue + "question " + std::to_string(i));
    EXPECT_EQ(path.Last().address, holder);
    Serve(path);
  }
  // When a holder's queue costs more time than the cached prefix saves, another gets the request.
  path.At(holder).report.queued_prefill_tokens = 100000;
  path.At(holder).report_time = path.time.Now();
  path.Chat(catalogue + "question 20", true, {{"X-Request-Deadline-Ms", "60000"}});
  EXPECT_NE(path.Last().address, holder);
}

TEST(Routing, CopiesOfAnUnprovenRequestMeetTheSameTwoUpstreamsEverywhere) {
  std::set<std::string> met;
  for (std::uint64_t daemon = 1; daemon <= 20; ++daemon) {
    request_path path(daemon);
    for (int i = 0; i < 20; ++i) path.AddEngine("e:" + std::to_string(i));
    path.At("e:" + std::to_string(daemon % 20)).report.queued_prefill_tokens = 5000;
    path.Chat("the same");
    met.insert(path.Last().address);
  }
  EXPECT_LE(met.size(), 2U);
}

TEST(Routing, AStartingDaemonWaitsForTheFirstReports) {
  request_path path;
  path.AddEngine("e:1");
  path.AddEngine("e:2").has_report = false;
  path.Chat("x");
  path.Tick(milliseconds(200));
  EXPECT_TRUE(path.port.sent.empty());
  path.At("e:2").has_report = true;
  path.Tick(milliseconds(200));
  EXPECT_EQ(path.port.sent.size(), 1U);
  path.AddEngine("e:3").has_report = false;
  path.Chat("y");
  EXPECT_EQ(path.port.sent.size(), 2U);
}

TEST(Routing, AProvenRequestSpreads) {
  request_path path;
  for (int i = 0; i < 20; ++i) path.AddEngine("e:" + std::to_string(i));
  path.Chat("the same");
  Serve(path);
  std::set<std::string> met;
  for (int i = 0; i < 100; ++i) {
    path.Chat("the same");
    met.insert(path.Last().address);
    path.Tick(milliseconds(1));
  }
  EXPECT_GE(met.size(), 15U);
}

TEST(PrefixIndex, ForgetsWhatWasEvictedLostOrOld) {
  prefix_index index;
  const time_point now(seconds(10));
  const upstream_id a(1);
  const upstream_id b(2);
  const std::vector<std::uint64_t> chain = {11, 12, 13};
  for (const std::uint64_t piece : chain) index.Stored(a, piece, now);
  index.Stored(b, 11, now);
  EXPECT_EQ(index.HeldPieces(a, chain, now), 3U);
  EXPECT_EQ(index.HeldPieces(b, chain, now), 1U);
  index.Evicted(a, 12);
  EXPECT_EQ(index.HeldPieces(a, chain, now), 1U);
  index.Forget(a);
  EXPECT_EQ(index.HeldPieces(a, chain, now), 0U);
  EXPECT_EQ(index.HeldPieces(b, chain, now + prefix_index::kMaxEntryAge + seconds(1)), 0U);
}

TEST(PrefixIndex, StaysWithinItsBound) {
  prefix_index index;
  for (std::uint64_t piece = 1; piece <= prefix_index::kMaxPieces + 1000; ++piece) {
    index.Stored(upstream_id(1), piece, time_point(seconds(1)));
  }
  EXPECT_EQ(index.size(), prefix_index::kMaxPieces);
  EXPECT_EQ(index.HeldPieces(upstream_id(1), {1}, time_point(seconds(1))), 0U);
}

RC_GTEST_PROP(PrefixChain, SharedBeginningsShareTheirHashes, (std::uint8_t shared, char next)) {
  const std::size_t pieces = shared % 4;
  const std::string common(pieces * kPieceBytes, 's');
  const auto a = PrefixChain(common + std::string(2 * kPieceBytes, 'a'));
  const auto b = PrefixChain(common + std::string(2 * kPieceBytes, next));
  RC_ASSERT(a.size() == pieces + 2 && b.size() == pieces + 2);
  for (std::size_t i = 0; i < a.size(); ++i)
    RC_ASSERT((a[i] == b[i]) == (i < pieces || next == 'a'));
}

}  // namespace
}  // namespace hawthorndrum
