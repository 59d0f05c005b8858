/// Tests that planned changes cut off no request, and that a leaving upstream gets no new work.
#include <gtest/gtest.h>

#include "request_path.h"

namespace hawthorndrum {
namespace {

void Serve(request_path& path, attempt_id attempt) {
  path.Head(attempt);
  path.Bytes(attempt, request_path::Tokens(0, 2) + request_path::Done());
}

TEST(Drain, AnySignOfLeavingStopsNewWorkAtTheNextRequest) {
  using sign = void (*)(upstream&);
  const sign signs[] = {[](upstream& row) { row.leaving.host_list = true; },
                        [](upstream& row) { row.leaving.engine = true; },
                        [](upstream& row) { row.leaving.peer = true; },
                        [](upstream& row) { row.leaving.operator_order = true; },
                        [](upstream& row) { row.planned_change = true; },
                        [](upstream& row) { row.report.state = engine_state::kDraining; },
                        [](upstream& row) { row.report.state = engine_state::kChanging; }};
  for (const sign leave : signs) {
    request_path path;
    path.AddEngine("e:1");
    path.AddEngine("e:2");
    const request_id before = path.Chat("first");
    const sent_attempt first = path.Last();
    leave(path.At(first.address));
    for (int i = 0; i < 30; ++i) {
      path.Chat("later " + std::to_string(i));
      EXPECT_NE(path.Last().address, first.address);
      Serve(path, path.Last().attempt);
    }
    EXPECT_FALSE(path.port.sent.front().cancelled);
    Serve(path, first.attempt);
    EXPECT_TRUE(path.Caller(before).LooksComplete());
  }
}

TEST(Drain, AStoppingDaemonFinishesWhatItHas) {
  request_path path;
  path.AddEngine("e:1");
  path.AddEngine("e:2");
  const request_id streaming = path.Chat("one");
  const sent_attempt first = path.Last();
  path.At("e:1").planned_change = true;
  path.At("e:2").planned_change = true;
  const request_id queued = path.Chat("two");
  path.system->BeginStop();
  const request_id refused = path.Chat("three");
  EXPECT_EQ(path.Caller(refused).status, 503);
  EXPECT_NE(path.Caller(refused).body.find("\"outcome\":\"not_run\""), std::string::npos);
  EXPECT_EQ(path.system->in_flight(), 2U);
  path.At("e:1").planned_change = false;
  path.At("e:2").planned_change = false;
  path.Tick(milliseconds(50));
  Serve(path, first.attempt);
  Serve(path, path.Last().attempt);
  EXPECT_TRUE(path.Caller(streaming).LooksComplete());
  EXPECT_TRUE(path.Caller(queued).LooksComplete());
  EXPECT_EQ(path.system->in_flight(), 0U);
}

TEST(Drain, ARequestEndsUnderTheConfigurationThatItBeganWith) {
  request_path path;
  path.AddWorker("w:1", "stock");
  path.AddWorker("w:9", "other");
  path.At("w:1").planned_change = true;
  path.Post("/services/stock/a", "");
  service_config moved = *path.config.Find("stock");
  moved.pool = "other";
  path.config.Put(moved);
  path.At("w:1").planned_change = false;
  path.Tick(milliseconds(50));
  EXPECT_EQ(path.Last().address, "w:1");
  path.Post("/services/stock/b", "");
  EXPECT_EQ(path.Last().address, "w:9");
}

TEST(Drain, AModelThatIsUnloadedGetsNoNewWork) {
  request_path path;
  path.AddEngine("e:1");
  path.AddEngine("e:2");
  path.At("e:1").report.models = {{"another", "1", {}}};
  for (int i = 0; i < 20; ++i) {
    path.Chat("x" + std::to_string(i));
    EXPECT_EQ(path.Last().address, "e:2");
    Serve(path, path.Last().attempt);
  }
}

}  // namespace
}  // namespace hawthorndrum
