/// Tests of the lease while the store comes back from an older copy of itself, or another writer
/// replaces its record.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "fake_clock.h"
#include "fake_object_store.h"
#include "fake_random_source.h"
#include "gateway/daemon_directory.h"
#include "gateway/directory_peers.h"
#include "systems/lease_system.h"

namespace hawthorndrum {
namespace {

constexpr duration kStep = milliseconds(50);

lease_timing Timing() {
  lease_timing timing;
  timing.length = seconds(4);
  timing.margin = milliseconds(500);
  timing.take_missing_at_once = true;
  return timing;
}

/** Daemons that compete for one lease, and a record of who held it with which term. */
class restored_store_run {
 public:
  restored_store_run(int daemons, std::uint64_t first_era) {
    store.BeginEras(first_era);
    for (int i = 0; i < daemons; ++i) all.push_back(std::make_unique<daemon>(*this, i + 1));
  }

  struct daemon {
    daemon(restored_store_run& run, int number, int former_incarnations = 0)
        : client(run.store, number),
          directory("host" + std::to_string(number)),
          peers(directory, peer_id(number)),
          lease(client, peers, run.clock, run.random, run.metrics, "fleet",
                incarnation_id(static_cast<std::uint64_t>(former_incarnations + number)),
                Timing()) {}

    fake_store_client client;
    daemon_directory directory;
    directory_peers peers;
    lease_system lease;
    /** A paused or cut daemon neither runs nor receives answers; its clock goes on. */
    bool is_silent = false;
  };

  /** Lets time pass; returns the first violation, or an empty string. */
  std::string Run(duration length) {
    for (duration passed{0}; passed < length; passed += kStep) {
      clock.Advance(kStep);
      for (auto& each : all) {
        if (!each->is_silent) each->lease.Run(clock.Now());
      }
      DeliverAnswers();
      const std::string violation = Check();
      if (!violation.empty()) return violation;
    }
    return {};
  }
  /** Ends all daemons and starts others in their places. */
  void RestartAll() {
    const std::size_t count = all.size();
    all.clear();
    for (std::size_t i = 0; i < count; ++i) {
      restarts_ += 1;
      all.push_back(std::make_unique<daemon>(*this, static_cast<int>(i) + 1, 100 * restarts_));
    }
  }
  /** Another writer replaces the lease's record. */
  void Overwrite(const std::string& value) {
    const auto& [key, object] = *store.objects().begin();
    store_call call;
    call.operation = store_operation::kUpdate;
    call.key = key;
    call.expected = object.version;
    call.value = value;
    ASSERT_EQ(store.Apply(call).outcome, store_outcome::kDone);
  }
  int Holder() const {
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (all[i]->lease.Holds()) return static_cast<int>(i);
    }
    return -1;
  }

  fake_clock clock;
  fake_random_source random;
  metrics_registry metrics;
  fake_object_store store;
  std::vector<std::unique_ptr<daemon>> all;

 private:
  void DeliverAnswers() {
    for (std::size_t i = 0; i < store.waiting().size();) {
      const int client = store.waiting()[i].client;
      if (all[static_cast<std::size_t>(client - 1)]->is_silent) {
        ++i;
      } else {
        store.RunAt(i);
        i = 0;
      }
    }
  }
  std::string Check() {
    int holders = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const lease_system& lease = all[i]->lease;
      if (!lease.Holds()) continue;
      holders += 1;
      const bool is_new = holder_ != static_cast<int>(i) || term_ != lease.term();
      if (!is_new) continue;
      if (!(term_ < lease.term())) return "a term does not exceed the ones before";
      holder_ = static_cast<int>(i);
      term_ = lease.term();
    }
    return holders > 1 ? "two daemons hold the lease" : "";
  }

  int holder_ = -1;
  int restarts_ = 0;
  lease_term term_;
};

/** The parameter is the era in which the store begins. */
class StoreRestoresTest : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(FirstEras, StoreRestoresTest, testing::Values(0, 1));

// The restored store has no lease, and the holder still trusts its own for up to 3.5 s.
TEST_P(StoreRestoresTest, ALostLeaseIsNotTakenWhileItsHolderTrustsIt) {
  restored_store_run run(2, GetParam());
  run.store.Copy();
  ASSERT_EQ(run.Run(seconds(20)), "");
  const int first = run.Holder();
  ASSERT_GE(first, 0);
  run.all[static_cast<std::size_t>(first)]->is_silent = true;
  run.store.Restore();
  EXPECT_EQ(run.Run(seconds(20)), "");
  EXPECT_EQ(run.Holder(), 1 - first);
}

// The copy names a holder of before, whose term was followed by others that are lost.
TEST_P(StoreRestoresTest, TermsRiseOverARestoreForADaemonThatSawNothingOfThem) {
  restored_store_run run(2, GetParam());
  ASSERT_EQ(run.Run(seconds(20)), "");
  const int first = run.Holder();
  ASSERT_GE(first, 0);
  run.store.Copy();
  run.all[static_cast<std::size_t>(first)]->is_silent = true;
  ASSERT_EQ(run.Run(seconds(20)), "");
  ASSERT_EQ(run.Holder(), 1 - first);
  run.all[static_cast<std::size_t>(1 - first)]->is_silent = true;
  run.all[static_cast<std::size_t>(first)]->is_silent = false;
  run.store.Restore();
  EXPECT_EQ(run.Run(seconds(20)), "");
  EXPECT_EQ(run.Holder(), first);
}

// A renewal that the restored store accepts has met its condition on another content.
TEST_P(StoreRestoresTest, ARenewalInANewEraIsNoRenewal) {
  restored_store_run run(1, GetParam());
  ASSERT_EQ(run.Run(seconds(20)), "");
  ASSERT_EQ(run.Holder(), 0);
  run.store.Copy();
  run.store.Restore();
  ASSERT_EQ(run.Run(seconds(2)), "");
  EXPECT_EQ(run.Holder(), -1);
  ASSERT_EQ(run.Run(seconds(10)), "");
  EXPECT_EQ(run.Holder(), 0);
}

TEST_P(StoreRestoresTest, OnlyALeaseOfTheFirstEraWasNeverHeldBefore) {
  restored_store_run run(1, GetParam());
  run.store.Copy();
  ASSERT_EQ(run.Run(seconds(20)), "");
  EXPECT_TRUE(run.all[0]->lease.took_missing());
  run.store.Restore();
  ASSERT_EQ(run.Run(seconds(20)), "");
  ASSERT_EQ(run.Holder(), 0);
  EXPECT_FALSE(run.all[0]->lease.took_missing());
}

// An era beyond the numbers that JSON holds exactly gives no terms, rather than repeated ones.
TEST_P(StoreRestoresTest, AnEraThatLeavesNoRoomForTermsGivesNoLease) {
  restored_store_run run(1, GetParam());
  run.store.SetEra(UINT64_MAX);
  EXPECT_EQ(run.Run(seconds(30)), "");
  EXPECT_EQ(run.Holder(), -1);
}

TEST_P(StoreRestoresTest, TheLargestEraStillGivesTerms) {
  restored_store_run run(1, GetParam());
  run.store.SetEra(std::uint64_t{1} << 31);
  EXPECT_EQ(run.Run(seconds(30)), "");
  EXPECT_EQ(run.Holder(), 0);
}

// Guards against terms that begin anew once no daemon remembers those before.
TEST_P(StoreRestoresTest, TermsRiseOverAnUnreadableRecordAndARestartOfAll) {
  restored_store_run run(2, GetParam());
  for (const char* value : {"", "not json", "{}", R"({"term":"3"})", R"({"term":-1})", "[]"}) {
    ASSERT_EQ(run.Run(seconds(20)), "") << value;
    ASSERT_GE(run.Holder(), 0) << value;
    run.Overwrite(value);
    run.RestartAll();
    ASSERT_EQ(run.Run(seconds(20)), "") << value;
    ASSERT_GE(run.Holder(), 0) << value;
    run.RestartAll();
  }
}

// Guards against terms of an era that reach into the next one's.
TEST_P(StoreRestoresTest, TermsThatMayBeUsedAreNotGivenOut) {
  restored_store_run run(1, GetParam());
  ASSERT_EQ(run.Run(seconds(20)), "");
  for (int i = 0; i < 1 << kEraShift; ++i) run.Overwrite("not json");
  run.RestartAll();
  EXPECT_EQ(run.Run(seconds(20)), "");
  const bool has_eras = GetParam() != 0;
  EXPECT_EQ(run.Holder(), has_eras ? -1 : 0);
}

RC_GTEST_PROP(StoreRestoresProperties, AtMostOneHolderAndRisingTermsUnderAnySeries, ()) {
  restored_store_run run(3, *rc::gen::inRange<std::uint64_t>(0, 2));
  run.store.Copy();
  const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (const int event : events) {
    const auto who = static_cast<std::size_t>(event % 3);
    if (event < 30) {
      run.all[who]->is_silent = !run.all[who]->is_silent;
    } else if (event < 45) {
      run.store.Copy();
    } else if (event < 65) {
      run.store.Restore();
    } else if (event < 72 && !run.store.waiting().empty()) {
      run.store.RunAtLosingAnswer(0);
    }
    RC_ASSERT(run.Run(milliseconds(50 + 60 * (event % 40))) == "");
  }
  for (auto& each : run.all) each->is_silent = false;
  RC_ASSERT(run.Run(seconds(60)) == "");
  RC_ASSERT(run.Holder() >= 0);
}

}  // namespace
}  // namespace hawthorndrum
