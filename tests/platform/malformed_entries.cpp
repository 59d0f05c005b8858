/// Tests of malformed entries among those of the upstreams.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "buffered_calls.h"
#include "entry_decoder.h"
#include "process_memory.h"
#include "store_body.h"

namespace hawthorndrum {
namespace {

constexpr char kSound[] =
    R"({"service":"desk","addr":"10.0.0.1:8080","zone":"north","version":"v1","slots":6,)"
    R"("state":"ready","cold_left_ms":0,"seq":4,"born":1790000000123})";

std::string Nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

std::string ItemOf(const std::string& name, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","rev":7},"spec":)" + spec + "}";
}

buffered_answer AnswerWith(const std::string& body) {
  buffered_answer ended;
  ended.received = true;
  ended.answer.status = 200;
  ended.answer.body = body;
  return ended;
}

buffered_answer ListOf(const std::string& items) {
  return AnswerWith(R"({"items":[)" + items + R"(],"has_more":false,"store_revision":9})");
}

std::vector<stored_object> ObjectsOf(const store_body& body) {
  std::vector<stored_object> objects;
  body.ForEachObject([&](stored_object each) { objects.push_back(std::move(each)); });
  return objects;
}

/** Entries that name no upstream; all of them are JSON as the store keeps it. */
std::vector<std::string> MalformedSpecs() {
  const std::string sound = kSound;
  const auto with = [&](const std::string& before, const std::string& after) {
    std::string spec = sound;
    return spec.replace(spec.find(before), before.size(), after);
  };
  return {
      Nested(400'000),
      with(R"("slots":6)", R"("slots":1e999)"),
      with(R"("slots":6)", R"("slots":99999999999999999999999)"),
      with(R"("slots":6)", R"("slots":-6)"),
      with("10.0.0.1:8080", "10.0.0.1:80800"),
      with("10.0.0.1:8080", "10.0.0.1:0"),
      with("10.0.0.1:8080", R"(\udcff\udcfe)"),
      with("10.0.0.1:8080", "\xff\xfe"),
      with(R"(,"seq":4)", ""),
      with(R"("seq":4)", R"("seq":"4")"),
      with(R"("seq":4)", R"("seq":1e999)"),
      with(R"("cold_left_ms":0)", R"("cold_left_ms":"none")"),
      with(R"("cold_left_ms":0,)", ""),
      with(R"("born":1790000000123)", R"("born":1e999)"),
      with(R"("seq":4)", R"("seq":4,"more":)" + Nested(400'000)),
      "null",
      "[]",
      R"("text with } and ] and \" in it")",
  };
}

TEST(MalformedEntries, EachNamesNoUpstreamAndHidesNoOther) {
  ASSERT_TRUE(DecodeEntry("a", ReadJson(kSound)));
  for (const std::string& malformed : MalformedSpecs()) {
    const buffered_answer ended = ListOf(
        ItemOf("a", kSound) + "," + ItemOf("malformed", malformed) + " , " + ItemOf("b", kSound));
    const auto answer = store_body::Read(ended);
    ASSERT_TRUE(answer) << malformed.substr(0, 200);
    EXPECT_EQ(answer->revision(), 9u);
    const std::vector<stored_object> objects = ObjectsOf(*answer);
    ASSERT_EQ(objects.size(), 3u) << malformed.substr(0, 200);
    EXPECT_TRUE(DecodeEntry(objects[0].name, objects[0].spec));
    EXPECT_EQ(objects[1].name, "malformed");
    EXPECT_EQ(objects[1].revision, 7u);
    EXPECT_FALSE(DecodeEntry("malformed", objects[1].spec)) << malformed.substr(0, 200);
    EXPECT_EQ(objects[2].name, "b");
    EXPECT_TRUE(DecodeEntry(objects[2].name, objects[2].spec));
  }
}

TEST(MalformedEntries, AnUnreadableOneIsSharedWithOtherDaemonsWithoutItsContent) {
  const std::string event = R"({"object":)" + ItemOf("malformed", Nested(400'000)) + "}";
  const std::string gone = R"({"object":)" + ItemOf("a", kSound) + R"(,"deleted":true})";
  const buffered_answer ended =
      AnswerWith(R"({"events":[)" + event + "," + gone + R"(],"store_revision":9})");
  std::vector<stored_event> events;
  store_body::Read(ended)->ForEachEvent([&](stored_event each) { events.push_back(each); });
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[0].object.spec_text, "null");
  EXPECT_FALSE(events[0].deleted);
  EXPECT_TRUE(events[1].deleted);
  EXPECT_EQ(events[1].object.spec_text, kSound);
}

TEST(MalformedEntries, ABodyThatIsNoObjectIsAFailedCall) {
  for (const char* body : {"", "[]", "{", R"({"items":[)", R"({"items":[]} x)", "null"})
    EXPECT_FALSE(store_body::Read(AnswerWith(body))) << body;
  const buffered_answer empty = ListOf("");
  EXPECT_TRUE(ObjectsOf(*store_body::Read(empty)).empty());
}

// Guards against large entries that change together and end a process for its memory: an empty
// object takes 3 bytes of text and some 80 when it is parsed.
TEST(MalformedEntries, LargeOnesAreParsedOneAtATime) {
  std::string large = "[1";
  while (large.size() < 1'000'000) large += ",{}";
  std::string events;
  for (int i = 0; i < 12; ++i)
    events += (i == 0 ? "" : ",") + (R"({"object":)" + ItemOf("plan", large + "]") + "}");
  const buffered_answer ended = AnswerWith(R"({"events":[)" + events + R"(],"store_revision":9})");
  const auto answer = store_body::Read(ended);
  constexpr std::size_t kMegabyte = 1024 * 1024;
  const std::size_t before = ResidentBytes();
  std::size_t most = 0;
  int parsed = 0;
  answer->ForEachEvent([&](const stored_event& each) {
    parsed += each.object.spec.is_array() ? 1 : 0;
    most = std::max(most, ResidentBytes());
  });
  EXPECT_EQ(parsed, 12);
  EXPECT_LT(most, before + 80 * kMegabyte);
}

RC_GTEST_PROP(MalformedEntriesProperties, NoBytesEndTheProcess, ()) {
  std::string body = ListOf(ItemOf("a", kSound) + "," + ItemOf("b", kSound)).answer.body;
  const auto edits = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, body.size()), rc::gen::arbitrary<char>()));
  for (const auto& [at, byte] : edits) body[at] = byte;
  const buffered_answer ended = AnswerWith(body);
  const auto answer = store_body::Read(ended);
  if (!answer) return;
  for (const stored_object& each : ObjectsOf(*answer)) DecodeEntry(each.name, each.spec);
  answer->ForEachEvent([](const stored_event&) {});
  answer->NextAfter();
}

}  // namespace
}  // namespace hawthorndrum
