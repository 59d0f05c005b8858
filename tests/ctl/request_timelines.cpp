/// `hawthorndrumctl why --log`: the timeline of a request from daemons' log lines.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "command_line.h"
#include "request_timeline.h"

namespace hawthorndrum {
namespace {

constexpr char kLines[] =
    R"(  0.1 front-1 {"at":100.0,"host":"front-1","event":"upstream_gone","upstream":"i-9","in_ms":0}
{"at":100.5,"host":"front-1","event":"store_lost","kind":"servers"}
{"at":101.0,"host":"front-1","event":"run_sent","request":"q1","upstream":"i-9","run":1}
{"at":101.1,"host":"front-1","event":"run_sent","request":"q2","upstream":"i-8","run":1}
torn {"at":10
{"at":101.2,"host":"front-1","event":"call_failed","request":"q1","upstream":"i-9","reason":"x"}
{"at":101.2,"host":"front-2","event":"store_lost","kind":"servers"}
{"at":90.0,"host":"front-1","event":"config_in_force","version":3}
)";

TEST(RequestTimeline, ShowsTheRequestAndWhatChangedAroundIt) {
  std::istringstream lines(kLines);
  request_timeline timeline;
  timeline.Read(lines);
  EXPECT_EQ(timeline.unreadable(), 1u);
  std::vector<std::string> events;
  for (const log_entry& each : timeline.EntriesFor("q1")) events.push_back(each.event);
  EXPECT_EQ(events,
            (std::vector<std::string>{"upstream_gone", "store_lost", "run_sent", "call_failed"}));
  EXPECT_TRUE(timeline.EntriesFor("q7").empty());
}

// A request that was never sent is explained by a line that may be older than other changes: an
// upstream goes without requests for up to half a minute.
TEST(RequestTimeline, ShowsWhatTheUpstreamOfARefusalHadSaid) {
  std::istringstream lines(
      R"({"at":50.0,"host":"front-1","event":"upstream_leaving","upstream":"i-9"}
{"at":60.0,"host":"front-1","event":"upstream_wants_nothing","upstream":"i-9","for_ms":30000}
{"at":71.0,"host":"front-1","event":"upstream_wants_nothing","upstream":"i-9","for_ms":30000}
{"at":72.0,"host":"front-1","event":"upstream_listed","upstream":"i-9"}
{"at":73.0,"host":"front-1","event":"upstream_wants_nothing","upstream":"i-8","for_ms":30000}
{"at":74.0,"host":"front-2","event":"upstream_wants_nothing","upstream":"i-9","for_ms":30000}
{"at":100.0,"host":"front-1","event":"request_refused","request":"q1","upstream":"i-9"}
{"at":100.5,"host":"front-1","event":"upstream_leaving","upstream":"i-9"}
)");
  request_timeline timeline;
  timeline.Read(lines);
  std::vector<std::string> shown;
  for (const log_entry& each : timeline.EntriesFor("q1"))
    shown.push_back(each.event + " " + each.upstream);
  EXPECT_EQ(shown, (std::vector<std::string>{"upstream_leaving i-9", "upstream_wants_nothing i-9",
                                             "request_refused i-9", "upstream_leaving i-9"}));
}

// Requests are refused for a conviction that may be hours old; others' convictions do not matter.
TEST(RequestTimeline, ShowsTheConvictionBehindARefusal) {
  std::istringstream lines(
      R"({"at":50.0,"host":"front-1","event":"suspect_judged","suspect":"5f","outcome":"convicted"}
{"at":51.0,"host":"front-1","event":"suspect_judged","suspect":"60","outcome":"convicted"}
{"at":52.0,"host":"front-2","event":"suspect_judged","suspect":"5f","outcome":"convicted"}
{"at":9000.0,"host":"front-1","event":"request_refused","request":"q1","suspect":"5f"}
)");
  request_timeline timeline;
  timeline.Read(lines);
  std::vector<std::string> shown;
  for (const log_entry& each : timeline.EntriesFor("q1"))
    shown.push_back(each.event + " " + each.suspect);
  EXPECT_EQ(shown, (std::vector<std::string>{"suspect_judged 5f", "request_refused 5f"}));
}

TEST(RequestTimeline, ShowsTheCutBehindAPassedOnRequestAndItsWayAtBothHosts) {
  std::istringstream lines(
      R"({"at":50.0,"host":"front-1","event":"upstreams_cut_off","service":"llm"}
{"at":51.0,"host":"front-3","event":"upstreams_cut_off","service":"llm"}
{"at":100.0,"host":"front-1","event":"request_passed_on","request":"q1","to":"front-2"}
{"at":100.1,"host":"front-2","event":"request_taken_over","request":"q1","from":"front-1"}
{"at":100.2,"host":"front-2","event":"run_sent","request":"q1","upstream":"i-9"}
)");
  request_timeline timeline;
  timeline.Read(lines);
  std::vector<std::string> shown;
  for (const log_entry& each : timeline.EntriesFor("q1")) shown.push_back(each.event);
  EXPECT_EQ(shown, (std::vector<std::string>{"upstreams_cut_off", "request_passed_on",
                                             "request_taken_over", "run_sent"}));
}

TEST(RequestTimeline, WhyReadsALogFile) {
  const std::string file = testing::TempDir() + "/hawthorndrum-why.log";
  std::ofstream(file) << kLines;
  std::ostringstream out;
  std::ostringstream err;
  EXPECT_EQ(RunCommandLine({"why", "--log", file, "q1"}, {out, err}), exit_code::kDone);
  EXPECT_NE(out.str().find("call_failed  upstream=i-9 reason=x"), std::string::npos) << out.str();
  EXPECT_NE(RunCommandLine({"why", "--log", file, "none"}, {out, err}), exit_code::kDone);
}

}  // namespace
}  // namespace hawthorndrum
