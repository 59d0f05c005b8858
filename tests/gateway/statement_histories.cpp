/// Tests what upstreams say about themselves over random histories of answers, lists and requests.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "answering_upstreams.h"

namespace hawthorndrum {
namespace {

/** Keeps the truth about each instance, by which every sent call is checked. */
class StatementHistoriesTest : public AnsweringUpstreamsTest {
 protected:
  StatementHistoriesTest() {
    for (const char* id : {"a", "b", "c"}) born[id] = 1;
    for (const char* id : {"d", "e", "p"}) born[id] = 1;
  }

  upstream_entry EntryOf(const std::string& id) {
    const bool is_engine = id >= "d";
    const engine_stage stage = id == "p" ? engine_stage::kPrefill : engine_stage::kDecode;
    return Entry(id, is_engine ? "llm" : "desk", born[id], is_engine ? stage : engine_stage::kNone);
  }
  /** Draws from the whole range in small cases too. */
  static int Below(int limit) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
  }
  static std::string AnyId() {
    return *rc::gen::element<std::string>("a", "b", "c", "d", "e", "p");
  }

  void AskSomething() {
    switch (Below(4)) {
      case 0:
        Ask("/look/x");
        break;
      case 1:
        Ask("/pay/x");
        break;
      default:
        AskPrompt("/tell/x", "aa", *rc::gen::element(100, 9000), 5000);
    }
  }
  void AnswerSomething() {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < upstreams.sent.size(); ++i) {
      if (!upstreams.sent[i].cancelled && finished.count(i) == 0) open.push_back(i);
    }
    if (open.empty()) return;
    const std::size_t index = *rc::gen::elementOf(open);
    if (Below(8) == 0) {
      finished.insert(index);
      return served.OnAttemptLost(
          {upstreams.sent[index].call.attempt, attempt_failure::kConnectionLost, true});
    }
    const int status = *rc::gen::element(200, 200, 503, 503, 503, 500, 421);
    std::vector<http_header> headers = {{"X-Hawthorndrum-Response-Seal", "seal"}};
    if (status == 503) headers.push_back({"X-Hawthorndrum-Not-Executed", "1"});
    const bool leaves = Below(8) == 0;
    if (leaves) headers.push_back({"Server-Leaving", "1"});
    const std::string time = *rc::gen::element<std::string>("", "1", "3.5", "9", "70", "x");
    if (!time.empty()) headers.push_back({"Retry-After", time});
    const bool of_another = Below(10) == 0;
    if (of_another) headers.push_back({"X-Hawthorndrum-Instance-Id", "z"});
    const upstream_id instance = upstreams.sent[index].call.upstream;
    if (status != 421 && !of_another) {
      if (leaves) leaving.insert(instance);
      if (status == 503 && !time.empty() && time != "x") {
        const duration asked = milliseconds(static_cast<int>(std::stod(time) * 1000));
        time_point& end = wants_nothing_until[instance];
        end = std::max(end, clock.Now() + std::min<duration>(asked, seconds(30)));
      }
    }
    HeadOf(index, status, headers);
    CheckSent();
    served.OnAttemptBytes({upstreams.sent[index].call.attempt, R"({"handle":"h1"})"});
    finished.insert(index);
    Finish(index);
  }
  void ChangeSomething() {
    switch (Below(7)) {
      case 0:
        return directory.Put(EntryOf(AnyId()));
      case 1:
        return directory.Remove(AnyId());
      case 2: {
        upstream_entry leaver = EntryOf(AnyId());
        leaver.leaving = true;
        return directory.Put(leaver);
      }
      case 3: {
        const std::string id = AnyId();
        born[id] = 1 + Below(3);
        return directory.Put(EntryOf(id));
      }
      case 4: {
        std::vector<upstream_entry> entries;
        for (const auto& [id, start] : born) {
          if (Below(4) > 0) entries.push_back(EntryOf(id));
        }
        return ListOnly(entries);
      }
      case 5:
        return directory.OnStoreRecovered(seconds(5));
      default:
        return Configure(++version);
    }
  }
  /** Checks the calls that were sent since the last check. */
  void CheckSent() {
    for (; checked < upstreams.sent.size(); ++checked) {
      const upstream_id instance = upstreams.sent[checked].call.upstream;
      RC_ASSERT(leaving.count(instance) == 0u);
      const auto asked = wants_nothing_until.find(instance);
      RC_ASSERT(asked == wants_nothing_until.end() || clock.Now() >= asked->second);
    }
  }

  std::map<std::string, std::uint64_t> born;
  std::set<std::size_t> finished;
  std::set<upstream_id> leaving;
  std::map<upstream_id, time_point> wants_nothing_until;
  std::size_t checked = 0;
  std::uint64_t version = 1;
};

RC_GTEST_FIXTURE_PROP(StatementHistoriesTest, NoCallGoesWhereItIsNotWanted, ()) {
  for (const auto& [id, start] : born) directory.Put(EntryOf(id));
  constexpr int kSteps = 150;
  for (int step = 0; step < kSteps; ++step) {
    switch (Below(8)) {
      case 0:
        ChangeSomething();
        break;
      case 1:
        Pass(milliseconds(100 * (1 + Below(30))));
        break;
      case 2:
        if (Below(4) == 0) Delay(seconds(1 + Below(40)));
        break;
      case 3:
      case 4:
        AskSomething();
        break;
      default:
        AnswerSomething();
    }
    CheckSent();
  }
  RC_TAG(std::string(leaving.empty() ? "none left" : "some left") +
         (wants_nothing_until.empty() ? "" : ", some asked for time"));
}

}  // namespace
}  // namespace hawthorndrum
