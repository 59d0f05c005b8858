/// Tests of how answers of the object API map to outcomes.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "object_api.h"

namespace hawthorndrum {
namespace {

using op = store_operation;
using out = store_outcome;

store_call Call(op operation) {
  store_call call;
  call.operation = operation;
  call.key = "claims/a b";
  call.expected = object_version(7);
  return call;
}

struct answer_case {
  op operation;
  int status;
  const char* etag;
  const char* body;
  out wanted;
};

TEST(ObjectApi, EveryAnswerMapsToOneOutcome) {
  const std::vector<answer_case> table = {
      {op::kGet, 200, "\"5\"", "v", out::kDone},
      {op::kGet, 404, "", "", out::kMissing},
      {op::kGet, 500, "", "", out::kRefused},
      {op::kCreate, 201, "\"5\"", "", out::kDone},
      {op::kCreate, 412, "\"5\"", "", out::kConflict},
      {op::kCreate, 412, "", "", out::kConflict},
      {op::kCreate, 429, "", "", out::kRefused},
      {op::kCreate, 503, "", "", out::kRefused},
      {op::kCreate, 500, "", "", out::kUnknown},
      {op::kCreate, 504, "", "", out::kUnknown},
      {op::kCreate, 201, "", "", out::kUnknown},
      {op::kUpdate, 200, "\"9\"", "", out::kDone},
      {op::kUpdate, 412, "\"9\"", "", out::kConflict},
      {op::kUpdate, 412, "", "", out::kMissing},
      {op::kUpdate, 200, "garbage", "", out::kUnknown},
      {op::kUpdate, 413, "", "", out::kRefused},
      {op::kRemove, 204, "", "", out::kDone},
      {op::kRemove, 404, "", "", out::kMissing},
      {op::kRemove, 502, "", "", out::kUnknown},
      {op::kWatch, 410, "", "", out::kStale},
      {op::kWatch, 200, "", R"({"revision":3,"events":[]})", out::kDone},
      {op::kWatch, 200, "", R"({"revision":3})", out::kRefused},
      {op::kWatch, 200, "", R"({"revision":3,"events":{"key":"k","version":2}})", out::kRefused},
      {op::kWatch, 200, "", R"({"revision":3,"events":[{"key":"k","version":2})", out::kRefused},
      {op::kList, 200, "", R"({"revision":3,"objects":[{"key":"k","version":2}]})", out::kDone},
      {op::kList, 200, "", R"({"revision":-3,"objects":[]})", out::kRefused},
      {op::kList, 200, "", "not json", out::kRefused},
  };
  for (const answer_case& row : table) {
    http_answer answer{row.status, {}, row.body};
    if (*row.etag != '\0') answer.headers.push_back({"ETag", row.etag});
    EXPECT_EQ(ObjectApiAnswer(Call(row.operation), answer).outcome, row.wanted)
        << static_cast<int>(row.operation) << " " << row.status << " " << row.body;
  }
}

// Guards against one object of another writer that hides all others, and stops pruning.
TEST(ObjectApi, AnUnreadableEntryIsLeftOut) {
  const std::vector<std::string> unreadable = {R"({"key":1,"version":2})",
                                               R"({"version":2})",
                                               R"({"key":"k"})",
                                               R"({"key":"k","version":-2})",
                                               R"({"key":"k","version":"2"})",
                                               R"({"key":"k","version":null})",
                                               R"({"key":"k","version":1e999})",
                                               "{\"key\":\"k\xff\",\"version\":2}",
                                               "null",
                                               "7",
                                               "[]",
                                               "{}",
                                               std::string(100000, '[') + std::string(100000, ']')};
  for (const op operation : {op::kList, op::kWatch}) {
    const std::string member = operation == op::kList ? "objects" : "events";
    for (const std::string& odd : unreadable) {
      const std::string body = R"({"revision":3,")" + member + R"(":[{"key":"a","version":1},)" +
                               odd + R"(,{"key":"b","version":2}]})";
      const store_answer answer = ObjectApiAnswer(Call(operation), {200, {}, body});
      EXPECT_EQ(answer.outcome, out::kDone) << odd.substr(0, 40);
      ASSERT_EQ(answer.entries.size(), 2u) << odd.substr(0, 40);
      EXPECT_EQ(answer.entries[0].key, "a");
      EXPECT_EQ(answer.entries[1].key, "b");
    }
  }
}

TEST(ObjectApi, AMissingAnswerMayHideAWriteButNeverARead) {
  EXPECT_EQ(ObjectApiNoAnswer(Call(op::kCreate), true).outcome, out::kUnknown);
  EXPECT_EQ(ObjectApiNoAnswer(Call(op::kUpdate), true).outcome, out::kUnknown);
  EXPECT_EQ(ObjectApiNoAnswer(Call(op::kRemove), true).outcome, out::kUnknown);
  EXPECT_EQ(ObjectApiNoAnswer(Call(op::kCreate), false).outcome, out::kRefused);
  EXPECT_EQ(ObjectApiNoAnswer(Call(op::kGet), true).outcome, out::kRefused);
}

TEST(ObjectApi, WritesAreConditional) {
  EXPECT_EQ(FindHeader(ObjectApiRequest(Call(op::kCreate)).headers, "If-None-Match"), "*");
  EXPECT_EQ(FindHeader(ObjectApiRequest(Call(op::kUpdate)).headers, "If-Match"), "\"7\"");
  EXPECT_EQ(FindHeader(ObjectApiRequest(Call(op::kRemove)).headers, "If-Match"), "\"7\"");
  EXPECT_EQ(ObjectApiRequest(Call(op::kGet)).target, "/v1/objects/claims/a%20b");
}

}  // namespace
}  // namespace hawthorndrum
