/// Injects each fault at each store call of a publishing run.
#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <memory>
#include <optional>

#include "publish_driver.h"
#include "stored_configuration.h"

namespace hawthorndrum {
namespace {

enum class publish_fault {
  kRefused,
  kLostBefore,
  kLostAfter,
  kAppliedLate,
  kKilledBefore,
  kKilledAfter,
  kUnrelatedWins,
  kSameServiceWins,
  kOutPermanently,
  kSilentPermanently,
  kLateThenOut,
  kAppliedThenUnrelated,
  kAppliedThenSameService,
  kLostThenUnrelated,
};

constexpr std::array<publish_fault, 14> kFaults = {publish_fault::kRefused,
                                                   publish_fault::kLostBefore,
                                                   publish_fault::kLostAfter,
                                                   publish_fault::kAppliedLate,
                                                   publish_fault::kKilledBefore,
                                                   publish_fault::kKilledAfter,
                                                   publish_fault::kUnrelatedWins,
                                                   publish_fault::kSameServiceWins,
                                                   publish_fault::kOutPermanently,
                                                   publish_fault::kSilentPermanently,
                                                   publish_fault::kLateThenOut,
                                                   publish_fault::kAppliedThenUnrelated,
                                                   publish_fault::kAppliedThenSameService,
                                                   publish_fault::kLostThenUnrelated};

const char* Name(publish_fault fault) {
  switch (fault) {
    case publish_fault::kRefused:
      return "refused";
    case publish_fault::kLostBefore:
      return "lost before";
    case publish_fault::kLostAfter:
      return "lost after";
    case publish_fault::kAppliedLate:
      return "lands late";
    case publish_fault::kKilledBefore:
      return "killed before";
    case publish_fault::kKilledAfter:
      return "killed after";
    case publish_fault::kUnrelatedWins:
      return "unrelated wins";
    case publish_fault::kSameServiceWins:
      return "same wins";
    case publish_fault::kOutPermanently:
      return "store out";
    case publish_fault::kSilentPermanently:
      return "store silent";
    case publish_fault::kLateThenOut:
      return "late, store out";
    case publish_fault::kAppliedThenUnrelated:
      return "lost after, unrelated wins";
    case publish_fault::kAppliedThenSameService:
      return "lost after, same wins";
    case publish_fault::kLostThenUnrelated:
      return "lost before, unrelated wins";
  }
  return "";
}

const char* Name(publish_status status) {
  switch (status) {
    case publish_status::kRunning:
      return "killed";
    case publish_status::kPublished:
      return "published";
    case publish_status::kUnchanged:
      return "unchanged";
    case publish_status::kPlanned:
      return "planned";
    case publish_status::kConflict:
      return "conflict";
    case publish_status::kGivenUp:
      return "given up";
    case publish_status::kRejected:
      return "rejected";
    case publish_status::kUnknown:
      return "unknown";
  }
  return "";
}

/** Counts the generations, from 1 to the newest, that carry the publish id. */
int CountGenerationsWithId(const fake_object_store& store, std::uint64_t publish_id) {
  int occurrences = 0;
  const generation newest = StoredHead(store).number;
  for (std::uint64_t number = 1; number <= newest.value(); ++number) {
    if (StoredHead(store, generation(number)).published.publish_id == publish_id) occurrences += 1;
  }
  return occurrences;
}

/** One cell of the matrix: injects a fault at the store call with that number. */
class faulty_run {
 public:
  static constexpr std::uint64_t kId = 8;
  static constexpr int kClient = 1;

  /** With `first` nothing was published before, so the run creates the head. */
  faulty_run(std::size_t step, publish_fault fault, bool first)
      : step_(step), fault_(fault), first_(first) {
    if (!first) PublishNow(store_, MakeRequest(7, "ann", {MakeService("a"), MakeService("b")}));
    driver_ = std::make_unique<publish_driver>(store_, kClient,
                                               MakeRequest(kId, "ben", {MakeService("a", 9)}));
  }

  /** Returns false when the run has no call of that number. */
  bool Run() {
    while (!driver_->run().ended() && !killed_) {
      driver_->Tick();
      for (int call = driver_->WaitingCall(); call >= 0 && !killed_;
           call = driver_->WaitingCall()) {
        HandleCall(static_cast<std::size_t>(call));
      }
    }
    if (delayed_call_) store_.Apply(*delayed_call_);
    return reached_;
  }

  void Check() const {
    const int occurrences = CountGenerationsWithId(store_, kId);
    const publish_status status = driver_->result().status;
    EXPECT_LE(occurrences, 1);
    if (status == publish_status::kPublished) {
      EXPECT_EQ(occurrences, 1);
      EXPECT_EQ(StoredHead(store_, driver_->result().number).published.publish_id, kId);
    }
    const bool refused = status == publish_status::kConflict ||
                         status == publish_status::kGivenUp || status == publish_status::kRejected;
    if (refused) {
      EXPECT_EQ(occurrences, 0);
    }
    CheckContent(occurrences == 1);
    CheckOutcome(status);
  }

  publish_status status() const { return driver_->result().status; }
  const std::string& step_name() const { return step_name_; }

 private:
  /** Each service must be as the last publisher to succeed wanted it. */
  void CheckContent(bool succeeded) const {
    std::map<std::string, int> wanted;
    if (!first_) wanted = {{"a", 5}, {"b", 5}};
    if (succeeded) wanted["a"] = 9;
    if (same_won_) wanted["a"] = step_ == 0 ? 9 : 1;
    if (unrelated_won_) wanted["c"] = 1;
    std::map<std::string, int> stored;
    for (const auto& [name, entry] : StoredServices(store_)) stored[name] = entry.config.priority;
    EXPECT_EQ(stored, wanted);
  }

  /** The outcome may be kUnknown only where the publisher cannot learn it. */
  void CheckOutcome(publish_status status) const {
    switch (fault_) {
      case publish_fault::kRefused:
      case publish_fault::kLostBefore:
      case publish_fault::kLostAfter:
      case publish_fault::kAppliedLate:
      case publish_fault::kUnrelatedWins:
      case publish_fault::kAppliedThenUnrelated:
      case publish_fault::kLostThenUnrelated:
        EXPECT_EQ(status, publish_status::kPublished);
        return;
      case publish_fault::kAppliedThenSameService:
        // Once the update has succeeded, later changes by others do not affect its outcome.
        EXPECT_EQ(status, step_ == 0 || head_write_ ? publish_status::kPublished
                                                    : publish_status::kConflict);
        return;
      case publish_fault::kSameServiceWins:
        // Before the first read there is no race: the run's base includes the other's change.
        EXPECT_EQ(status, step_ == 0 ? publish_status::kPublished : publish_status::kConflict);
        return;
      case publish_fault::kOutPermanently:
        EXPECT_EQ(status, publish_status::kGivenUp);
        return;
      case publish_fault::kSilentPermanently:
      case publish_fault::kLateThenOut:
        EXPECT_EQ(status, head_write_ ? publish_status::kUnknown : publish_status::kGivenUp);
        return;
      case publish_fault::kKilledBefore:
      case publish_fault::kKilledAfter:
        EXPECT_EQ(status, publish_status::kRunning);
        return;
    }
  }

  void HandleCall(std::size_t index) {
    const bool inject = calls_ == step_ || (reached_ && IsPermanent());
    calls_ += 1;
    if (!inject) {
      store_.RunAt(index);
      return;
    }
    if (!reached_) RecordStep(store_.waiting()[index].call);
    reached_ = true;
    Inject(index);
  }

  void PublishUnrelated() {
    unrelated_won_ = true;
    PublishNow(store_, MakeRequest(20, "cat", {MakeService("c", 1)}));
  }

  void PublishSameService() {
    same_won_ = true;
    PublishNow(store_, MakeRequest(20, "cat", {MakeService("a", 1)}));
  }

  bool IsPermanent() const {
    return fault_ == publish_fault::kOutPermanently ||
           fault_ == publish_fault::kSilentPermanently || fault_ == publish_fault::kLateThenOut;
  }

  void RecordStep(const store_call& call) {
    const bool read = call.operation == store_operation::kGet;
    head_write_ = call.key == kConfigHeadKey && !read;
    step_name_ = (read ? "read " : "write ") + call.key.substr(0, call.key.rfind('/')).substr(6);
    if (call.key == kConfigHeadKey) step_name_ = read ? "read head" : "write head";
    step_name_ += " #" + std::to_string(step_);
  }

  void Inject(std::size_t index) {
    switch (fault_) {
      case publish_fault::kRefused:
      case publish_fault::kOutPermanently:
        return store_.FailAt(index, store_outcome::kRefused);
      case publish_fault::kLostBefore:
      case publish_fault::kSilentPermanently:
        return store_.FailAt(index, store_outcome::kUnknown);
      case publish_fault::kLostAfter:
        return store_.RunAtLosingAnswer(index);
      case publish_fault::kAppliedLate:
        delayed_call_ = store_.DelayAt(index);
        return;
      case publish_fault::kKilledBefore:
        killed_ = true;
        return store_.DropClient(kClient, false);
      case publish_fault::kKilledAfter:
        killed_ = true;
        return store_.DropClient(kClient, true);
      case publish_fault::kUnrelatedWins:
        PublishUnrelated();
        return store_.RunAt(driver_->WaitingCall());
      case publish_fault::kSameServiceWins:
        PublishSameService();
        return store_.RunAt(driver_->WaitingCall());
      case publish_fault::kLateThenOut:
        // One more call succeeds: at the head, the read that finds its version unchanged.
        if (delayed_call_ && !extra_call_done_) {
          extra_call_done_ = true;
          return store_.RunAt(index);
        }
        if (delayed_call_) return store_.FailAt(index, store_outcome::kRefused);
        delayed_call_ = store_.DelayAt(index);
        return;
      case publish_fault::kAppliedThenUnrelated:
        store_.RunAtLosingAnswer(index);
        return PublishUnrelated();
      case publish_fault::kAppliedThenSameService:
        store_.RunAtLosingAnswer(index);
        return PublishSameService();
      case publish_fault::kLostThenUnrelated:
        store_.FailAt(index, store_outcome::kUnknown);
        return PublishUnrelated();
    }
  }

  std::size_t step_;
  publish_fault fault_;
  bool first_;
  fake_object_store store_;
  std::unique_ptr<publish_driver> driver_;
  std::size_t calls_ = 0;
  bool reached_ = false;
  bool killed_ = false;
  bool head_write_ = false;
  bool unrelated_won_ = false;
  bool same_won_ = false;
  bool extra_call_done_ = false;
  std::string step_name_;
  std::optional<store_call> delayed_call_;
};

/** Runs all cells of one matrix, prints a row for each step, and returns the number of cells. */
int RunMatrix(std::size_t steps, bool first) {
  int cells = 0;
  for (std::size_t step = 0; step < steps; ++step) {
    std::string row;
    for (const publish_fault fault : kFaults) {
      faulty_run run(step, fault, first);
      EXPECT_TRUE(run.Run()) << "no step " << step;
      SCOPED_TRACE(run.step_name() + " / " + Name(fault));
      run.Check();
      if (row.empty()) row = run.step_name() + ":";
      row += std::string(" ") + Name(fault) + "=" + Name(run.status()) + ";";
      cells += 1;
    }
    std::cout << row << "\n";
  }
  std::cout << "publishing: " << cells << " cells\n";
  return cells;
}

TEST(PublishFaults, EveryStepUnderEveryFault) {
  constexpr std::size_t kStepsPerRun = 7;
  EXPECT_EQ(RunMatrix(kStepsPerRun, false), static_cast<int>(kStepsPerRun * kFaults.size()));
}

TEST(PublishFaults, EveryStepOfTheFirstGenerationUnderEveryFault) {
  constexpr std::size_t kStepsOfTheFirst = 4;
  EXPECT_EQ(RunMatrix(kStepsOfTheFirst, true), static_cast<int>(kStepsOfTheFirst * kFaults.size()));
}

}  // namespace
}  // namespace hawthorndrum
