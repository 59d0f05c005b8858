/// Tests of lists of daemons that the store divides.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "fake_clock.h"
#include "gateway/daemon_directory.h"
#include "http_client.h"
#include "recording_log.h"
#include "scripted_store.h"
#include "store_link.h"

namespace hawthorndrum {
namespace {

std::string ListOf(const std::vector<std::string>& names, bool has_more) {
  std::string items;
  for (const std::string& name : names) {
    if (!items.empty()) items += ",";
    items += R"({"metadata":{"name":")" + name +
             R"("},"spec":{"notices":"10.0.0.1:7380","data_centre":"north"}})";
  }
  return R"({"items":[)" + items + R"(],"has_more":)" + (has_more ? "true" : "false") +
         R"(,"store_revision":9})";
}

// Guards against a host that counts only the first part of the list, and takes too large a share.
TEST(DaemonLists, AllPartsOfAListCount) {
  boost::asio::io_context io;
  std::size_t lists = 0;
  scripted_store store(io, [&](const std::string& target) -> http_answer {
    if (target.find('?') == std::string::npos) return {200, {}, "{}"};
    ++lists;
    const bool is_second = target.find("after=b") != std::string::npos;
    return {200, {}, is_second ? ListOf({"c", "d"}, false) : ListOf({"a", "b"}, true)};
  });
  http_client client(io);
  fake_clock clock;
  recording_log log;
  store_link link(client, clock, log, store.address());
  daemon_directory directory("b");
  link.PublishRecord({"b", "10.0.0.1:7380", "north"}, directory);
  link.Run(clock.Now());
  ASSERT_TRUE(store.RunUntil([&] { return directory.read_at().has_value(); }));
  ASSERT_EQ(lists, 2u);
  EXPECT_EQ(directory.others().size(), 3u);
  EXPECT_TRUE(directory.lists_this());
}

// Guards against a daemon that counts twice, and a list without an end.
TEST(DaemonLists, ARecordInTwoPartsCountsOnce) {
  boost::asio::io_context io;
  std::size_t lists = 0;
  bool is_circle = false;
  scripted_store store(io, [&](const std::string& target) -> http_answer {
    if (target.find('?') == std::string::npos) return {200, {}, "{}"};
    ++lists;
    const bool is_second = target.find("after=a") != std::string::npos;
    if (is_second) return {200, {}, ListOf({"b c"}, is_circle)};
    return {200, {}, ListOf({"a", "b c"}, true)};
  });
  http_client client(io);
  fake_clock clock;
  recording_log log;
  store_link link(client, clock, log, store.address());
  daemon_directory directory("own");
  link.PublishRecord({"own", "10.0.0.1:7380", "north"}, directory);
  link.Run(clock.Now());
  ASSERT_TRUE(store.RunUntil([&] { return directory.read_at().has_value(); }));
  EXPECT_EQ(directory.others().size(), 2u);
  is_circle = true;
  lists = 0;
  clock.Advance(seconds(10));
  link.Run(clock.Now());
  constexpr std::size_t kListsOfCircle = 3;
  ASSERT_TRUE(store.RunUntil([&] { return lists == kListsOfCircle; }));
  clock.Advance(seconds(10));
  ASSERT_TRUE(store.RunUntil([&] {
    link.Run(clock.Now());
    return lists > kListsOfCircle;
  }));
  EXPECT_EQ(store.lines.back().find("after="), std::string::npos) << store.lines.back();
  EXPECT_EQ(directory.others().size(), 2u);
}

}  // namespace
}  // namespace hawthorndrum
