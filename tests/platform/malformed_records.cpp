/// Tests of this product's records after another writer changed them.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http_client.h"
#include "ports/event_sink.h"
#include "record_store.h"
#include "scripted_store.h"

namespace hawthorndrum {
namespace {

struct kept_answer : public event_sink, public store_listener {
  void Post(event posted) override {
    if (const auto* answered = std::get_if<store_answered>(&posted)) answer = answered->answer;
  }
  void OnStoreAnswer(store_call_id, const store_answer&) override {}
  std::optional<store_answer> answer;
};

/** Returns what is read of a record whose object the store answers with that body. */
store_answer ReadRecord(const std::string& body) {
  boost::asio::io_context io;
  http_client client(io);
  scripted_store store(io, [&](const std::string&) { return http_answer{200, {}, body}; });
  kept_answer kept;
  record_store records(client, kept, store.address());
  store_call call;
  call.key = "leases/usage";
  call.timeout = seconds(5);
  records.Submit(call, kept);
  store.RunUntil([&] { return kept.answer.has_value(); });
  return kept.answer.value_or(store_answer());
}

std::string ObjectWith(const std::string& spec, const std::string& status = "{}") {
  return R"({"metadata":{"name":"usage","rev":7},"spec":)" + spec + R"(,"status":)" + status + "}";
}

// Guards against a duty that nobody takes up again: a record whose version is not known can't be
// replaced, and is read for ever.
TEST(MalformedRecords, AnUnreadableValueHasAVersion) {
  const std::vector<std::string> specs = {"\"\xff\"",
                                          R"({"value":"\udcff"})",
                                          R"({"value":1e999})",
                                          "{}",
                                          "null",
                                          R"({"value":null})",
                                          "[]",
                                          R"({"value":["a"]})",
                                          R"({"other":"\udcff"})"};
  for (const std::string& spec : specs) {
    const store_answer answer = ReadRecord(ObjectWith(spec));
    EXPECT_EQ(answer.outcome, store_outcome::kDone) << spec;
    EXPECT_EQ(answer.version, object_version(7)) << spec;
    EXPECT_EQ(answer.value, "") << spec;
  }
}

TEST(MalformedRecords, WhatStandsBesideTheValueHidesNothing) {
  const std::string depth(100'000, '[');
  for (const std::string& status : {std::string(R"("\udcff")"), std::string("\"\xff\""),
                                    depth + std::string(depth.size(), ']')}) {
    const store_answer answer = ReadRecord(ObjectWith(R"({"value":"v"})", status));
    EXPECT_EQ(answer.outcome, store_outcome::kDone) << status.substr(0, 20);
    EXPECT_EQ(answer.value, "v") << status.substr(0, 20);
  }
}

TEST(MalformedRecords, AnObjectWithoutAVersionIsNoAnswer) {
  for (const char* body : {"", "null", "[]", "{}", R"({"metadata":{"rev":"7"},"spec":{}})",
                           R"({"metadata":{"rev":0},"spec":{"value":"v"}})"}) {
    EXPECT_EQ(ReadRecord(body).outcome, store_outcome::kUnknown) << body;
  }
}

}  // namespace
}  // namespace hawthorndrum
