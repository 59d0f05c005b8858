/// Tests of hawthorndrumd's answers from upstreams that close their connection after the head.
#include <gtest/gtest.h>

#include "request_path.h"

namespace hawthorndrum {
namespace {

void FinishByClose(request_path& path) {
  path.system->OnAttemptFinished({path.Last().attempt, true});
  path.Tick();
}

// Guards against a 200 with an empty body, framed as whole, from an upstream that crashed.
TEST(BrokenHeads, AnAnswerThatBreaksOffAfterItsHeadIsNotWhole) {
  request_path path;
  path.AddEngine("e:1");
  path.AddWorker("w:1", "stock");
  const request_id chat = path.Chat("hello", false);
  path.Head(path.Last().attempt);
  FinishByClose(path);
  EXPECT_FALSE(path.Caller(chat).LooksComplete());
  const request_id stock = path.Post("/services/stock/x", "body");
  path.Head(path.Last().attempt);
  FinishByClose(path);
  EXPECT_FALSE(path.Caller(stock).LooksComplete());
}

TEST(BrokenHeads, AnAnswerWithABodyMayEndWithItsConnection) {
  request_path path;
  path.AddWorker("w:1", "stock");
  const request_id id = path.Post("/services/stock/x", "body");
  path.Head(path.Last().attempt);
  path.Bytes(path.Last().attempt, "whole");
  FinishByClose(path);
  EXPECT_TRUE(path.Caller(id).LooksComplete());
  EXPECT_EQ(path.Caller(id).body, "whole");
}

}  // namespace
}  // namespace hawthorndrum
