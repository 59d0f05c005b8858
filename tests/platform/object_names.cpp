/// Tests of objects of other writers, whose names may have any characters.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/url.h"
#include "fake_clock.h"
#include "fake_random_source.h"
#include "gateway/daemon_directory.h"
#include "gateway/object_watch.h"
#include "http_client.h"
#include "object_sink.h"
#include "ports/event_sink.h"
#include "query.h"
#include "record_store.h"
#include "recording_log.h"
#include "scripted_store.h"
#include "store_link.h"

namespace hawthorndrum {
namespace {

using nlohmann::json;

const std::vector<std::string> kNames = {"front-1",   "Brindley shelf 499",
                                         "a&after=b", "a#b",
                                         "50%",       "%41",
                                         "a+b",       "a/b",
                                         "a?b",       "a\r\nX: y",
                                         "a\tb",      "l\xc3\xa4ger",
                                         "..",        "\"a\\b\"",
                                         "a;b=c,:@",  std::string("a\0b", 3)};

http_answer ListOf(const std::vector<std::string>& names, bool has_more) {
  json body = {{"items", json::array()}, {"has_more", has_more}, {"store_revision", 9}};
  for (const std::string& name : names)
    body["items"].push_back({{"metadata", {{"name", name}, {"rev", 7}}}, {"spec", json::object()}});
  return {200, {}, body.dump()};
}

/** A list in the order of its names, which is divided into parts of equal length. */
struct paged_names {
  paged_names(std::set<std::string> all, std::size_t in_part)
      : names(std::move(all)), length(in_part) {}

  http_answer Answer(const std::string& target) {
    if (target.find("watch=") != std::string::npos) return {503, {}, "{}"};
    ++calls;
    if (!accepts_escapes && target.find('%') != std::string::npos) return {400, {}, "{}"};
    auto next = names.upper_bound(QueryValue(target, "after"));
    std::vector<std::string> part;
    for (; next != names.end() && part.size() < length; ++next) part.push_back(*next);
    return ListOf(part, next != names.end());
  }

  std::set<std::string> names;
  std::size_t length;
  bool accepts_escapes = true;
  std::size_t calls = 0;
};

/** Returns whether the line is `METHOD TARGET VERSION`, with visible characters of ASCII only. */
bool IsRequestLine(const std::string& line) {
  const auto is_visible = [](unsigned char c) { return c >= ' ' && c < 0x7f; };
  return std::count(line.begin(), line.end(), ' ') == 2 && line.find('#') == std::string::npos &&
         std::all_of(line.begin(), line.end(), is_visible);
}

struct recording_sink : public object_sink {
  void OnObject(const std::string& name, const json&) override { names.push_back(name); }
  void OnDeleted(const std::string&) override {}
  std::vector<std::string> names;
};

struct ignoring_listener : public object_watch_listener {
  void OnListBegins() override {}
  void OnListComplete() override {}
  void OnCurrent(bool) override {}
  void OnStoreRecovered(duration) override {}
};

struct ignoring_events : public event_sink {
  void Post(event) override {}
};

struct ignoring_store_listener : public store_listener {
  void OnStoreAnswer(store_call_id, const store_answer&) override {}
};

/** The upstreams' list, followed from a store whose answers the test decides. */
struct followed_list {
  explicit followed_list(scripted_store::script answers) : store(io, std::move(answers)) {
    link.Follow("servers", sink, watch);
    watch.Run(clock.Now());
  }
  /** Lets time pass, so that calls are repeated, until the condition holds. */
  bool PassUntil(const std::function<bool()>& done) {
    return store.RunUntil([&] {
      clock.Advance(milliseconds(10));
      watch.Run(clock.Now());
      return done();
    });
  }

  boost::asio::io_context io;
  http_client client{io};
  fake_clock clock;
  fake_random_source random;
  recording_log log;
  scripted_store store;
  store_link link{client, clock, log, store.address()};
  recording_sink sink;
  ignoring_listener listener;
  object_watch watch{"servers", link, listener, random, log};
};

/** Every list is divided behind the name, which is the only one of its first part. */
class ObjectNamesTest : public testing::TestWithParam<std::string> {
 protected:
  http_answer Answer(const std::string& target) {
    if (target.find("watch=") != std::string::npos) return {503, {}, "{}"};
    const std::string after = QueryValue(target, "after");
    if (after.empty()) return ListOf({GetParam()}, true);
    return after == GetParam() ? ListOf({"z"}, false) : http_answer{400, {}, "{}"};
  }
  /** Returns the decoded last segment of the path of the last call with that method. */
  std::string NameInLast(const std::string& method) const {
    for (auto line = store.lines.rbegin(); line != store.lines.rend(); ++line) {
      if (line->rfind(method + " ", 0) != 0) continue;
      const std::string target =
          line->substr(method.size() + 1, line->rfind(' ') - method.size() - 1);
      return DecodeUrl(target.substr(target.rfind('/') + 1));
    }
    return "no call";
  }

  boost::asio::io_context io;
  http_client client{io};
  fake_clock clock;
  fake_random_source random;
  recording_log log;
  scripted_store store{io, [this](const std::string& target) { return Answer(target); }};
  store_link link{client, clock, log, store.address()};
};

// Guards against a name that ends or alters the request line, after which a list never completes.
TEST_P(ObjectNamesTest, AListGoesOnBehindIt) {
  followed_list list([this](const std::string& target) { return Answer(target); });
  const std::vector<std::string>& lines = list.store.lines;
  EXPECT_TRUE(list.store.RunUntil([&] { return list.watch.is_listed(); })) << lines.back();
  EXPECT_TRUE(std::all_of(lines.begin(), lines.end(), IsRequestLine));
  EXPECT_EQ(list.log.LastOf("store_call_rejected"), "");
}

// Guards against another writer's name in a target, which a store may reject or read otherwise.
TEST_P(ObjectNamesTest, ItIsNotSentIfItsPartHasAPlainName) {
  paged_names pages({"0", "00", GetParam(), "~", "~~", "~~~"}, 3);
  pages.accepts_escapes = false;
  followed_list list([&](const std::string& target) { return pages.Answer(target); });
  EXPECT_TRUE(list.store.RunUntil([&] { return list.watch.is_listed(); }))
      << list.store.lines.back();
  EXPECT_EQ(list.log.LastOf("store_lost"), "");
  EXPECT_EQ(std::set<std::string>(list.sink.names.begin(), list.sink.names.end()), pages.names);
}

TEST_P(ObjectNamesTest, AListOfDaemonsGoesOnBehindIt) {
  daemon_directory directory("own");
  link.PublishRecord({"own", "10.0.0.1:7380", "north"}, directory);
  link.Run(clock.Now());
  EXPECT_TRUE(store.RunUntil([&] { return directory.read_at().has_value(); }))
      << store.lines.back();
}

TEST_P(ObjectNamesTest, ARecordIsWrittenAndRemovedUnderIt) {
  daemon_directory directory(GetParam());
  link.PublishRecord({GetParam(), "10.0.0.1:7380", "north"}, directory);
  link.RemoveRecord();
  ASSERT_TRUE(store.RunUntil([&] { return !store.lines.empty(); }));
  EXPECT_EQ(NameInLast("DELETE"), GetParam());
  ignoring_events events;
  record_store records(client, events, store.address());
  for (const store_operation operation : {store_operation::kGet, store_operation::kUpdate}) {
    store.lines.clear();
    store_call call;
    call.operation = operation;
    call.key = "leases/" + GetParam();
    call.timeout = seconds(5);
    ignoring_store_listener listener;
    records.Submit(call, listener);
    ASSERT_TRUE(store.RunUntil([&] { return !store.lines.empty(); }));
    EXPECT_EQ(NameInLast(operation == store_operation::kGet ? "GET" : "PUT"), GetParam());
    EXPECT_TRUE(IsRequestLine(store.lines.back())) << store.lines.back();
  }
}

INSTANTIATE_TEST_SUITE_P(Names, ObjectNamesTest, testing::ValuesIn(kNames));

// Guards against a list that asks for the same refused part for ever, without a word in the log.
TEST(RejectedLists, AListWhosePartIsRejectedIsReportedAndBegunAgain) {
  bool is_sound = false;
  followed_list list([&](const std::string& target) -> http_answer {
    if (target.find("after=") == std::string::npos) return ListOf({"a", "b"}, !is_sound);
    return {400, {}, "{}"};
  });
  const recording_log& log = list.log;
  ASSERT_TRUE(list.store.RunUntil([&] { return !log.LastOf("store_lost").empty(); }));
  EXPECT_NE(log.LastOf("store_lost").find("rejected"), std::string::npos);
  EXPECT_NE(log.LastOf("store_call_rejected").find("after=b"), std::string::npos);
  is_sound = true;
  EXPECT_TRUE(list.PassUntil([&] { return list.watch.is_listed(); }));
}

// Guards against a list without an end where few plain names stand among many others.
TEST(PlainNames, PartsWithoutAnyAreReadWithAtMostTwiceTheCalls) {
  constexpr std::size_t kLength = 5;
  std::set<std::string> names = {"a", "b"};
  for (int i = 10; i < 60; ++i) names.insert("a " + std::to_string(i));
  for (int i = 10; i < 60; ++i) names.insert("b" + std::string(i % 2, '&') + std::to_string(i));
  paged_names pages(names, kLength);
  followed_list list([&](const std::string& target) { return pages.Answer(target); });
  EXPECT_TRUE(list.store.RunUntil([&] { return list.watch.is_listed(); }));
  EXPECT_EQ(std::set<std::string>(list.sink.names.begin(), list.sink.names.end()), names);
  EXPECT_LE(pages.calls, 2 * (names.size() / kLength + 1));
}

// Guards against calls without a pause to a store that answers in a circle.
TEST(PlainNames, AListThatComesBackToAPartIsGivenUp) {
  std::size_t calls = 0;
  followed_list list([&](const std::string& target) {
    ++calls;
    return ListOf({QueryValue(target, "after") == "a" ? "a b" : "a"}, true);
  });
  ASSERT_TRUE(list.store.RunUntil([&] { return !list.log.LastOf("store_lost").empty(); }));
  EXPECT_NE(list.log.LastOf("store_lost").find("unreadable"), std::string::npos);
  EXPECT_EQ(calls, 3u);
}

// Guards against a watch that is given up for its length and begun at the same revision for ever.
TEST(RejectedLists, AnAnswerToAWatchThatIsTooLongIsReplacedByAList) {
  std::size_t lists = 0;
  followed_list list([&](const std::string& target) -> http_answer {
    if (target.find("watch=") != std::string::npos)
      return {200, {}, R"({"events":[],"store_revision":9})" + std::string(5 << 20, ' ')};
    ++lists;
    return ListOf({"a", "b"}, false);
  });
  EXPECT_TRUE(list.PassUntil([&] { return lists >= 2; }));
  EXPECT_NE(list.log.LastOf("store_lost").find("unreadable"), std::string::npos);
}

/** Lists whose first part has one object, with a name that the test writes. */
class UnreadableNamesTest : public testing::Test {
 protected:
  http_answer Answer(const std::string& target) {
    if (target.find("watch=") != std::string::npos) return {503, {}, "{}"};
    ++lists;
    const std::string after = QueryValue(target, "after");
    const std::string object = R"({"metadata":{"name":)" + written + R"(,"rev":7},"spec":{}})";
    if (after.empty() || is_repeating)
      return {200, {}, R"({"items":[)" + object + R"(],"has_more":true,"store_revision":9})"};
    return after == expected_after ? ListOf({"z"}, false) : http_answer{400, {}, "{}"};
  }
  /** Lists the objects; returns whether the list was completed before a call failed. */
  bool List() {
    lists = 0;
    followed_list list([this](const std::string& target) { return Answer(target); });
    list.store.RunUntil(
        [&] { return list.watch.is_listed() || !list.log.LastOf("store_lost").empty(); });
    names = list.sink.names;
    return list.watch.is_listed();
  }

  std::string written;
  std::string expected_after;
  bool is_repeating = false;
  int lists = 0;
  /** The readable names that the last list had. */
  std::vector<std::string> names;
};

// Guards against a list that counts as whole although the store said that it goes on.
TEST_F(UnreadableNamesTest, TheListGoesOnBehindAnyName) {
  const std::string longest(600, 'x');
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"("shelf \udcff\udcfe")", "shelf \xff\xfe"},
      {"\"shelf \xff\"", "shelf \xff"},
      {R"("\ud800\u00e4\n")", "\xed\xa0\x80\xc3\xa4\n"},
      {R"("\ud83d\ude00\udcff")", "\xf0\x9f\x98\x80\xff"},
      {'"' + longest + '"', longest}};
  for (const auto& [name, bytes] : cases) {
    written = name;
    expected_after = bytes;
    EXPECT_TRUE(List()) << name;
    EXPECT_EQ(names, std::vector<std::string>{"z"}) << name;
  }
}

TEST_F(UnreadableNamesTest, APartWithoutANameIsNotTheLast) {
  for (const char* name : {"7", R"("")", "null", R"(["a"])"}) {
    written = name;
    EXPECT_FALSE(List()) << name;
    EXPECT_EQ(lists, 1) << name;
  }
}

TEST_F(UnreadableNamesTest, AListThatDoesNotGoOnIsGivenUp) {
  written = R"("a")";
  is_repeating = true;
  EXPECT_FALSE(List());
  EXPECT_EQ(lists, 2);
}

}  // namespace
}  // namespace hawthorndrum
