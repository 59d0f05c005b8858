/// Concurrent publishers under random faults.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

#include "publish_driver.h"
#include "stored_configuration.h"

namespace hawthorndrum {
namespace {

/** Several publishers at once under random faults. */
class random_race {
 public:
  explicit random_race(std::uint64_t seed) : random_(seed), publishers_(2 + random_.Below(3)) {
    PublishNow(store_, MakeRequest(kFirstId - 1, "ann", {MakeService("s0"), MakeService("s1")}));
    for (std::size_t i = 0; i < publishers_; ++i) requests_.push_back(RandomRequest(i));
    for (std::size_t i = 0; i < publishers_; ++i) {
      drivers_.push_back(
          std::make_unique<publish_driver>(store_, static_cast<int>(i), requests_[i]));
    }
  }

  void Run() {
    std::uint64_t faults_left = random_.Below(12);
    while (AnyRunning()) {
      const std::uint64_t index = random_.Below(store_.waiting().size() + 1);
      if (index == store_.waiting().size()) {
        for (const auto& driver : drivers_) driver->Tick(milliseconds(200));
        ApplyDelayedCall();
        continue;
      }
      const std::uint64_t kind = faults_left > 0 ? random_.Below(8) : 0;
      if (kind > 3) faults_left -= 1;
      Answer(index, kind);
    }
    while (!delayed_calls_.empty()) ApplyDelayedCall();
  }

  void Check() const {
    const generation newest = StoredHead(store_).number;
    std::map<std::uint64_t, int> occurrences;
    for (std::uint64_t number = 1; number <= newest.value(); ++number) {
      const config_head head = StoredHead(store_, generation(number));
      RC_ASSERT(head.number == generation(number));
      occurrences[head.published.publish_id] += 1;
      RC_ASSERT(occurrences[head.published.publish_id] == 1);
    }
    for (std::size_t i = 0; i < publishers_; ++i) CheckOne(i, occurrences);
    CheckFinalState(newest);
  }

 private:
  static constexpr std::uint64_t kFirstId = 100;

  publish_request RandomRequest(std::size_t number) {
    std::vector<service_config> services;
    for (int i = 0; i < 4; ++i) {
      if (random_.Below(2) == 0) continue;
      services.push_back(MakeService("s" + std::to_string(i), static_cast<int>(random_.Below(10))));
    }
    publish_request request =
        MakeRequest(kFirstId + number, "operator-" + std::to_string(number), services);
    if (random_.Below(4) == 0) request.changes.push_back({"s9", std::nullopt});
    return request;
  }

  bool AnyRunning() const {
    return std::any_of(drivers_.begin(), drivers_.end(),
                       [](const auto& driver) { return !driver->run().ended(); });
  }

  void Answer(std::size_t index, std::uint64_t kind) {
    switch (kind) {
      case 4:
        return store_.FailAt(index, store_outcome::kRefused);
      case 5:
        return store_.FailAt(index, store_outcome::kUnknown);
      case 6:
        return store_.RunAtLosingAnswer(index);
      case 7:
        delayed_calls_.push_back(store_.DelayAt(index));
        return;
      default:
        return store_.RunAt(index);
    }
  }

  void ApplyDelayedCall() {
    if (delayed_calls_.empty()) return;
    store_.Apply(delayed_calls_.front());
    delayed_calls_.pop_front();
  }

  void CheckOne(std::size_t i, const std::map<std::uint64_t, int>& occurrences) const {
    const publish_result& result = drivers_[i]->result();
    const bool succeeded = occurrences.count(requests_[i].publish_id) != 0;
    if (result.status == publish_status::kPublished) RC_ASSERT(succeeded);
    const bool nothing =
        result.status == publish_status::kConflict || result.status == publish_status::kGivenUp ||
        result.status == publish_status::kUnchanged || result.status == publish_status::kRejected;
    if (nothing) RC_ASSERT(!succeeded);
    if (!result.conflicts.empty()) {
      RC_ASSERT(result.conflicts[0].changed_by.rfind("operator-", 0) == 0);
    }
  }

  /** The stored configuration equals the successful runs' changes, in the order of generations. */
  void CheckFinalState(generation newest) const {
    std::map<std::string, int> wanted{{"s0", 5}, {"s1", 5}};
    for (std::uint64_t number = 2; number <= newest.value(); ++number) {
      const std::uint64_t id = StoredHead(store_, generation(number)).published.publish_id;
      for (const service_change& change : requests_.at(id - kFirstId).changes) {
        if (change.wanted) wanted[change.name] = change.wanted->priority;
        if (!change.wanted) wanted.erase(change.name);
      }
    }
    std::map<std::string, int> stored;
    for (const auto& [name, entry] : StoredServices(store_)) stored[name] = entry.config.priority;
    RC_ASSERT(stored == wanted);
  }

  fake_random_source random_;
  std::size_t publishers_;
  fake_object_store store_;
  std::vector<publish_request> requests_;
  std::vector<std::unique_ptr<publish_driver>> drivers_;
  std::deque<store_call> delayed_calls_;
};

RC_GTEST_PROP(PublishRaces, LoseNothingAndAcceptNothingTwice, (std::uint64_t seed)) {
  random_race race(seed);
  race.Run();
  race.Check();
}

}  // namespace
}  // namespace hawthorndrum
