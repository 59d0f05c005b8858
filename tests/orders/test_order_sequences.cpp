/// Random sequences of faults and orders over two and three daemons, checked after each step.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "authority_bench_impl.h"

namespace hawthorndrum {
namespace {

enum class event_kind {
  kWait,
  kPropose,
  kLoadAdapter,
  kPause,
  kResume,
  kKill,
  kWithdraw,
  kCutStore,
  kCutEngines,
  kCutPeers,
  kHeal,
  kLoseStoreAnswer,
  kDelayStoreWrite,
  kStoreOut,
  kLoseOrderAnswer,
  kDelayOrder,
  kCrashEngine,
  kRepeatMessages,
  kLoseMessages,
  kSkewClock,
  kLagReports,
  kRequests,
  kEndRequests,
  kCount
};

struct sequence_event {
  event_kind kind = event_kind::kWait;
  int daemon = 0;
  int engine = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const sequence_event& event) {
  return out << "{" << static_cast<int>(event.kind) << " d" << event.daemon << " e" << event.engine
             << " n" << event.amount << "}";
}

rc::Gen<sequence_event> GenEvent() {
  const int kinds = static_cast<int>(event_kind::kCount);
  return rc::gen::apply(
      [](int kind, int daemon, int engine, int amount) {
        // Half of the events let time pass.
        const bool waits = kind < 0;
        return sequence_event{waits ? event_kind::kWait : static_cast<event_kind>(kind), daemon,
                              engine, amount};
      },
      rc::gen::inRange(-kinds, kinds), rc::gen::inRange(0, 3), rc::gen::inRange(0, 2),
      rc::gen::inRange(1, 60));
}

void Propose(authority_bench& bench, const sequence_event& event) {
  order_request request;
  request.engine = bench.engine(event.engine).id();
  request.kind =
      event.kind == event_kind::kPropose ? order_kind::kSetRole : order_kind::kLoadAdapter;
  request.role = event.amount % 2 == 0 ? engine_role::kDecode : engine_role::kPrefill;
  request.model = "m";
  request.version = "1";
  request.adapter = "a" + std::to_string(event.amount);
  (void)bench.Propose(request);
}

void Apply(authority_bench& bench, const sequence_event& event) {
  const int daemon = event.daemon % bench.daemon_count();
  switch (event.kind) {
    case event_kind::kWait:
    case event_kind::kCount:
      return;
    case event_kind::kPropose:
    case event_kind::kLoadAdapter:
      return Propose(bench, event);
    case event_kind::kPause:
      return bench.Pause(daemon, true);
    case event_kind::kResume:
      return bench.Pause(daemon, false);
    case event_kind::kKill:
      return bench.Kill(daemon);
    case event_kind::kWithdraw:
      // The platform removes a host from its list only if it does not answer.
      if (bench.daemon(daemon).paused) bench.Withdraw(daemon);
      return;
    case event_kind::kCutStore:
      return bench.CutStore(daemon, true);
    case event_kind::kCutEngines:
      return bench.CutEngines(daemon, true);
    case event_kind::kCutPeers:
      return bench.CutPeers(daemon, true);
    case event_kind::kHeal:
      return bench.Heal();
    case event_kind::kLoseStoreAnswer:
      bench.lose_store_answers = 1 + event.amount % 3;
      return;
    case event_kind::kDelayStoreWrite:
      bench.delay_store_writes = 1;
      return;
    case event_kind::kStoreOut:
      bench.store_down = true;
      return;
    case event_kind::kLoseOrderAnswer:
      bench.lose_order_answers = 1;
      return;
    case event_kind::kDelayOrder:
      bench.delay_orders = 1;
      return;
    case event_kind::kCrashEngine:
      return bench.engine(event.engine).Crash();
    case event_kind::kRepeatMessages:
      bench.repeat_messages = event.amount;
      return;
    case event_kind::kLoseMessages:
      bench.lose_messages = event.amount;
      return;
    case event_kind::kSkewClock:
      bench.daemon(daemon).rate = 0.96 + 0.02 * (event.amount % 5);
      return;
    case event_kind::kLagReports:
      bench.report_lag = static_cast<std::size_t>(event.amount % 12);
      return;
    case event_kind::kRequests:
      return bench.BeginRequest(daemon, event.engine);
    case event_kind::kEndRequests:
      return bench.EndRequests();
  }
}

/** Runs the events, checking after every step; then heals and checks that all recovers. */
void RunSequence(int daemons, const std::vector<sequence_event>& events) {
  authority_bench bench(daemons, {true, false});
  bench.Run(seconds(30));
  for (const sequence_event& event : events) {
    Apply(bench, event);
    const int steps = event.kind == event_kind::kWait ? event.amount : 2;
    for (int i = 0; i < steps; ++i) {
      bench.Step();
      RC_ASSERT(bench.Violations() == "");
    }
  }
  bench.EndRequests();
  bench.Heal();
  for (int i = 0; i < 720; ++i) {
    if (i % 20 == 0) bench.EndRequests();
    bench.Step();
    RC_ASSERT(bench.Violations() == "");
  }
  int holders = 0;
  const int holder = bench.Holder(&holders);
  RC_ASSERT(holders == 1);
  RC_LOG() << bench.daemon(holder).core.orders->Report("")->dump(1);
  RC_ASSERT(bench.daemon(holder).core.orders->open_changes() == 0u);
  for (int i = 0; i < daemons; ++i) {
    for (int e = 0; e < bench.engine_count(); ++e) {
      RC_ASSERT(bench.daemon(i).upstreams.Find(bench.engine(e).id())->TakesWork());
    }
  }
}

RC_GTEST_PROP(OrderSequences, TwoDaemons, ()) {
  RunSequence(2, *rc::gen::container<std::vector<sequence_event>>(60, GenEvent()));
}

RC_GTEST_PROP(OrderSequences, ThreeDaemons, ()) {
  RunSequence(3, *rc::gen::container<std::vector<sequence_event>>(60, GenEvent()));
}

}  // namespace
}  // namespace hawthorndrum
