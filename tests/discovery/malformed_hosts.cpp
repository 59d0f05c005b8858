/// Tests of a host list with a malformed entry.
#include <gtest/gtest.h>

#include <string>

#include "host_list_reader.h"

namespace hawthorndrum {
namespace {

std::string ListOf(const std::string& malformed) {
  const std::string sound =
      R"({"address":"127.0.0.1:9001","kind":"engine","data_centre":"north","state":"live"})";
  return R"({"hosts":[)" + malformed + "," + sound + "]}";
}

TEST(MalformedHosts, NoEntryHidesTheOthers) {
  const std::string nested = std::string(400'000, '[') + std::string(400'000, ']');
  for (const std::string& malformed : {
           nested,
           std::string(R"({"address":"127.0.0.1:90010","kind":"engine"})"),
           std::string(R"({"address":"127.0.0.1:9002","kind":"engine","incarnation":1e999})"),
           std::string(R"({"address":"127.0.0.1:9002","kind":"other"})"),
           std::string(R"({"address":"\udcff","kind":"engine"})"),
           std::string("null"),
       }) {
    const auto hosts = ReadHostList(ListOf(malformed));
    ASSERT_TRUE(hosts) << malformed.substr(0, 200);
    ASSERT_EQ(hosts->size(), 1u) << malformed.substr(0, 200);
    EXPECT_EQ(hosts->front().address, "127.0.0.1:9001");
  }
  EXPECT_FALSE(ReadHostList(R"({"hosts":{}})"));
  EXPECT_FALSE(ReadHostList(""));
}

}  // namespace
}  // namespace hawthorndrum
