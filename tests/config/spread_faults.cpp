/// Injects each fault at each step of spreading a generation.
#include <gtest/gtest.h>

#include <array>
#include <iostream>

#include "config_fleet.h"
#include "publish_driver.h"
#include "stored_configuration.h"

namespace hawthorndrum {
namespace {

enum class spread_step {
  kReadHead,
  kWatch,
  kReadPart,
  kAnnounce,
  kRequest,
  kPart,
  kStatus,
};

enum class spread_fault {
  kLostOnce,
  kLostFor3s,
  kDamagedOnce,
  kDamagedFor3s,
  kDuplicate,
  kRestart,
  kStoreOut5s,
  kPartitioned5s,
  kOldHead3s,
  kWatchesMiss,
};

constexpr std::array<spread_step, 7> kSteps = {
    spread_step::kReadHead, spread_step::kWatch, spread_step::kReadPart, spread_step::kAnnounce,
    spread_step::kRequest,  spread_step::kPart,  spread_step::kStatus};
constexpr std::array<const char*, 7> kStepNames = {"read head", "watch", "read part", "announce",
                                                   "request",   "part",  "status"};
constexpr std::array<spread_fault, 10> kFaults = {
    spread_fault::kLostOnce,     spread_fault::kLostFor3s,     spread_fault::kDamagedOnce,
    spread_fault::kDamagedFor3s, spread_fault::kDuplicate,     spread_fault::kRestart,
    spread_fault::kStoreOut5s,   spread_fault::kPartitioned5s, spread_fault::kOldHead3s,
    spread_fault::kWatchesMiss};
constexpr std::array<const char*, 10> kFaultNames = {
    "lost once", "lost 3 s",      "damaged once", "damaged 3 s",  "twice",
    "restart",   "store out 5 s", "cut off 5 s",  "old head 3 s", "watches miss"};

constexpr int kStepsPerSecond = 10;
constexpr int kStepsIn8Seconds = 8 * kStepsPerSecond;

/** One cell of the matrix: publishes generation 2 and injects the fault at the first such step. */
class faulty_spread {
 public:
  faulty_spread(spread_step step, spread_fault fault)
      : step_(step), fault_(fault), fleet_(store_, 2, 4) {
    PublishNow(store_, MakeRequest(7, "ann", {MakeService("a", 1), MakeService("b", 1)}));
  }

  /**
   * Returns the tenths of a second from publishing, or from healing the fault, until every daemon
   * has generation 2; or -1 when that takes more than 8 s.
   */
  int Run() {
    if (fleet_.StepsUntil(generation(1), kStepsIn8Seconds) < 0) return -1;
    old_head_ = StoredValue(store_, std::string(kConfigHeadKey));
    // A restarted daemon ensures that every step of fetching from peers occurs, too.
    fleet_.Restart(3);
    last_seen_.assign(static_cast<std::size_t>(fleet_.size()), 0);
    PublishNow(store_, MakeRequest(8, "ann", {MakeService("a", 2)}));
    new_head_ = StoredValue(store_, std::string(kConfigHeadKey));
    InstallFaults();
    for (int waited = 0; waited <= kStepsIn8Seconds; ++waited) {
      if (fleet_.AllHave(generation(2)) && steps_to_heal_ <= 0) return waited;
      fleet_.Step();
      ApplyDaemonFault();
      CheckNoGenerationFell();
      if (steps_to_heal_ > 0 && --steps_to_heal_ == 0) {
        Heal();
        waited = 0;
      }
    }
    return -1;
  }

  /** kWatchesMiss is active from the start, whatever the step. */
  bool injected() const { return faulty_daemon_ >= 0 || fault_ == spread_fault::kWatchesMiss; }

  void CheckContent() {
    const service_map wanted = StoredServices(store_, StoredHead(store_, generation(2)));
    for (int i = 0; i < fleet_.size(); ++i) {
      EXPECT_EQ(fleet_.config(i).tree().CountServices(), wanted.size());
      for (const auto& [name, entry] : wanted) {
        const auto held = fleet_.config(i).Find(name);
        ASSERT_NE(held, nullptr);
        EXPECT_TRUE(SameService(*held, entry.config));
      }
    }
  }

 private:
  static bool IsStoreStep(spread_step step) {
    return step == spread_step::kReadHead || step == spread_step::kWatch ||
           step == spread_step::kReadPart;
  }

  static peer_topic TopicOf(spread_step step) {
    switch (step) {
      case spread_step::kRequest:
        return peer_topic::kConfigRequest;
      case spread_step::kPart:
        return peer_topic::kConfigPart;
      case spread_step::kStatus:
        return peer_topic::kStatus;
      default:
        return peer_topic::kConfigHead;
    }
  }

  bool IsStep(const fake_object_store::waiting_call& call) const {
    const bool watch = call.call.operation == store_operation::kWatch;
    const bool head = call.call.key == kConfigHeadKey;
    if (step_ == spread_step::kWatch) return watch;
    if (step_ == spread_step::kReadHead) return head && !watch;
    return step_ == spread_step::kReadPart && !head;
  }

  void InstallFaults() {
    fleet_.watches_miss = fault_ == spread_fault::kWatchesMiss;
    fleet_.message_fault = [this](const sent_message& message) {
      const bool is_step = !IsStoreStep(step_) && message.message.topic == TopicOf(step_);
      return is_step ? SelectFault(message.from) : injected_fault::kNone;
    };
    fleet_.store_fault = [this](const fake_object_store::waiting_call& call) {
      return IsStep(call) ? SelectFault(call.client) : injected_fault::kNone;
    };
  }

  injected_fault SelectFault(int actor) {
    const bool first = faulty_daemon_ < 0;
    if (first) faulty_daemon_ = actor;
    switch (fault_) {
      case spread_fault::kLostOnce:
        return first ? injected_fault::kDrop : injected_fault::kNone;
      case spread_fault::kLostFor3s:
        return healed_ ? injected_fault::kNone : injected_fault::kDrop;
      case spread_fault::kDamagedOnce:
        return first ? injected_fault::kDamage : injected_fault::kNone;
      case spread_fault::kDamagedFor3s:
        return healed_ ? injected_fault::kNone : injected_fault::kDamage;
      case spread_fault::kDuplicate:
        return injected_fault::kDuplicate;
      default:
        return injected_fault::kNone;
    }
  }

  /** Applies faults of daemons and of the store, between two steps. */
  void ApplyDaemonFault() {
    if (faulty_daemon_ < 0 || fault_applied_) return;
    fault_applied_ = true;
    switch (fault_) {
      case spread_fault::kLostFor3s:
      case spread_fault::kDamagedFor3s:
        steps_to_heal_ = 3 * kStepsPerSecond;
        return;
      case spread_fault::kRestart:
        fleet_.Restart(faulty_daemon_);
        last_seen_[static_cast<std::size_t>(faulty_daemon_)] = 0;
        return;
      case spread_fault::kStoreOut5s:
        fleet_.SetStoreReachable(false);
        steps_to_heal_ = 5 * kStepsPerSecond;
        return;
      case spread_fault::kPartitioned5s:
        SetSecondDataCentreGroup(1);
        steps_to_heal_ = 5 * kStepsPerSecond;
        return;
      case spread_fault::kOldHead3s:
        PutHead(old_head_);
        steps_to_heal_ = 3 * kStepsPerSecond;
        return;
      default:
        return;
    }
  }

  void Heal() {
    healed_ = true;
    fleet_.SetStoreReachable(true);
    SetSecondDataCentreGroup(0);
    if (fault_ == spread_fault::kOldHead3s) PutHead(new_head_);
  }

  /** Moves the second data centre to the group; only group 0 can reach the store. */
  void SetSecondDataCentreGroup(int group) {
    for (int i = fleet_.size() / 2; i < fleet_.size(); ++i) {
      fleet_.member(i).group = group;
      fleet_.member(i).store_reachable = group == 0;
    }
  }

  void PutHead(const std::string& bytes) {
    store_call call;
    call.operation = store_operation::kUpdate;
    call.key = std::string(kConfigHeadKey);
    call.expected = store_.objects().at(call.key).version;
    call.value = bytes;
    ASSERT_EQ(store_.Apply(call).outcome, store_outcome::kDone);
  }

  void CheckNoGenerationFell() {
    for (int i = 0; i < fleet_.size(); ++i) {
      const std::uint64_t now = fleet_.config(i).current().value();
      std::uint64_t& last_seen = last_seen_[static_cast<std::size_t>(i)];
      EXPECT_GE(now, last_seen) << "daemon " << i;
      last_seen = now;
    }
  }

  spread_step step_;
  spread_fault fault_;
  fake_object_store store_;
  config_fleet fleet_;
  std::string old_head_;
  std::string new_head_;
  std::vector<std::uint64_t> last_seen_;
  int faulty_daemon_ = -1;
  bool fault_applied_ = false;
  bool healed_ = false;
  int steps_to_heal_ = 0;
};

TEST(SpreadFaults, EveryStepUnderEveryFault) {
  int cells = 0;
  int injected = 0;
  for (std::size_t s = 0; s < kSteps.size(); ++s) {
    std::string row = std::string(kStepNames[s]) + ":";
    for (std::size_t f = 0; f < kFaults.size(); ++f) {
      SCOPED_TRACE(std::string(kStepNames[s]) + " / " + kFaultNames[f]);
      faulty_spread spread(kSteps[s], kFaults[f]);
      const int tenths = spread.Run();
      EXPECT_GE(tenths, 0) << "not in force everywhere 8 s after the fault";
      if (tenths >= 0) spread.CheckContent();
      row += std::string(" ") + kFaultNames[f] + "=" + std::to_string(tenths * 100) + "ms;";
      cells += 1;
      if (spread.injected()) injected += 1;
      if (!spread.injected()) row += " (did not strike)";
    }
    std::cout << row << "\n";
  }
  std::cout << "spreading: " << cells << " cells, the fault struck in " << injected << "\n";
  EXPECT_EQ(injected, cells);
}

}  // namespace
}  // namespace hawthorndrum
