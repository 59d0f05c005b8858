/// Tests of duties: who may act, how often, and what the settings turn on.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "authority_bench_impl.h"
#include "duties/call_pace.h"
#include "duties/lease_authority.h"
#include "gateway/gateway_settings.h"

namespace hawthorndrum {
namespace {

/** Daemons with a lease that act at each opportunity; checks every act against the ones before. */
class acting_daemons {
 public:
  explicit acting_daemons(int count) : bench(count, {}) {
    for (int i = 0; i < count; ++i) Restart(i);
  }

  void Restart(int i) {
    authorities_.resize(static_cast<std::size_t>(bench.daemon_count()));
    authorities_[static_cast<std::size_t>(i)] =
        std::make_unique<lease_authority>(*bench.daemon(i).core.lease);
  }

  void Run(duration time) {
    for (duration done{0}; done < time; done += authority_bench::kStep) {
      bench.Step();
      now_ += authority_bench::kStep;
      for (int i = 0; i < bench.daemon_count(); ++i) {
        if (!bench.daemon(i).paused) Act(i);
      }
    }
  }

  authority_bench bench;
  int acts = 0;
  int last_actor = -1;

 private:
  void Act(int i) {
    lease_authority& authority = *authorities_[static_cast<std::size_t>(i)];
    const time_point own = bench.daemon(i).time.Now();
    authority.Run(own);
    const auto terms = authority.TermsFor(own);
    if (!terms) return;
    EXPECT_GT(terms->send_by, own);
    EXPECT_GE(terms->term.value(), last_term_.value());
    if (i != last_actor) {
      EXPECT_GT(terms->term.value(), last_term_.value());
      // Calls of the former holder have arrived by then, and A, B, A takes longer than a lease.
      if (acts > 0) {
        EXPECT_GE(now_ - last_act_, seconds(3));
      }
    }
    last_actor = i;
    last_term_ = terms->term;
    last_act_ = now_;
    ++acts;
  }

  std::vector<std::unique_ptr<lease_authority>> authorities_;
  time_point now_{};
  time_point last_act_;
  lease_term last_term_;
};

TEST(Duties, AHandOverLeavesNoMomentInWhichBothAct) {
  acting_daemons daemons(3);
  daemons.Run(seconds(40));
  for (int round = 0; round < 6; ++round) {
    const int holder = daemons.last_actor;
    ASSERT_GE(holder, 0);
    const int before = daemons.acts;
    switch (round % 3) {
      case 0:
        daemons.bench.Pause(holder, true);
        break;
      case 1:
        daemons.bench.CutStore(holder, true);
        break;
      default:
        daemons.bench.Kill(holder);
        daemons.Restart(holder);
    }
    daemons.Run(seconds(45));
    EXPECT_GT(daemons.acts, before);
    daemons.bench.Pause(holder, false);
    daemons.bench.CutStore(holder, false);
    daemons.Run(seconds(5));
  }
}

TEST(Duties, CallsOfADaemonTakeHalfOfTheRateForAll) {
  call_pace pace(50);
  time_point now{seconds(100)};
  int taken = 0;
  for (int ms = 0; ms < 3000; ++ms) taken += pace.Take(now += milliseconds(1)) ? 1 : 0;
  EXPECT_LE(taken, 75);
  EXPECT_GE(taken, 70);
  call_pace slow(1);
  EXPECT_TRUE(slow.Take(now));
  EXPECT_FALSE(slow.Take(now));
}

gateway_settings Read(const std::string& duties) {
  findings found;
  const gateway_settings read =
      ReadGatewaySettings("f",
                          "host: a\ndata_centre: b\ncallers: 10.0.0.1:1\nreadiness: 10.0.0.1:2\n"
                          "notices: 10.0.0.1:3\nstore: 10.0.0.2:1\n" +
                              duties,
                          found);
  EXPECT_TRUE(found.empty()) << found.ToText();
  return read;
}

TEST(Duties, AreTakenOnlyWhereTheSettingsNameThem) {
  EXPECT_FALSE(Read("").duties.reports_usage());
  const duty_settings none = Read("duties:\n  platform: 10.0.0.3:1\n").duties;
  EXPECT_FALSE(none.reports_usage() || none.orders_upstreams());
  const duty_settings both =
      Read(
          "duties:\n  platform: \"10.0.0.3:1\"\n  take: \"usage,parking,scale\"\n"
          "  calls_per_second: 50.0\n  usage_window: 5s\n  usage_lateness: 10s\n")
          .duties;
  EXPECT_TRUE(both.reports_usage() && both.orders_upstreams());
  EXPECT_EQ(both.usage_window, seconds(5));
  EXPECT_EQ(both.calls_per_second, 50);
}

}  // namespace
}  // namespace hawthorndrum
