/// Tests of names and ids from outside that are sent on in headers.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "entry_decoder.h"
#include "gateway/event_splitter.h"
#include "platform_dialect.h"

namespace hawthorndrum {
namespace {

/** Values that would begin another header, or end the process: the HTTP library throws at them. */
std::string Unsendable(int which) {
  const std::string texts[] = {"a\r\nX-Hawthorndrum-Kv-Hold: 1", std::string("a\0b", 3), "a\rb",
                               std::string(65'534, 'x'), std::string(2000, 'x')};
  return texts[which];
}
constexpr int kUnsendable = 5;

// Guards against a worker whose handle adds headers to a request, or ends the process.
TEST(WordsFromOutside, AHandleThatCannotBeSentIsNone) {
  const platform_dialect dialect;
  for (int i = 0; i < kUnsendable; ++i)
    EXPECT_FALSE(dialect.ReadHandleName(nlohmann::json{{"handle", Unsendable(i)}}.dump())) << i;
  EXPECT_FALSE(dialect.ReadHandleName(R"({"handle":"a HTTP/1.1"})"));
  EXPECT_EQ(dialect.ReadHandleName(R"({"handle":"h-1/2.a"})"), "h-1/2.a");
}

// Guards against a worker whose event's id ends the process, or adds headers, at a resumption.
TEST(WordsFromOutside, AnEventWhoseIdCannotBeSentIsNone) {
  for (int i = 1; i < kUnsendable; ++i) {
    event_splitter events;
    std::string complete;
    EXPECT_EQ(events.Feed("id: 1\ndata: a\n\nid: " + Unsendable(i) + "\ndata: b\n\n", complete),
              event_fault::kNotAnEvent)
        << i;
    EXPECT_EQ(events.last_id(), "1") << i;
    EXPECT_EQ(complete, "id: 1\ndata: a\n\n") << i;
  }
}

// Guards against an entry of the store whose name does the same in each request to it.
TEST(WordsFromOutside, AnEntryWhoseNameCannotBeSentNamesNoUpstream) {
  const auto spec = nlohmann::json::parse(R"({"service":"s","addr":"10.1.2.3:80","zone":"north",
    "version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":4})");
  EXPECT_TRUE(DecodeEntry("i-1", spec));
  for (int i = 0; i < kUnsendable; ++i) EXPECT_FALSE(DecodeEntry(Unsendable(i), spec)) << i;
}

}  // namespace
}  // namespace hawthorndrum
