/// One cell of the fault matrix: reaches a step, injects faults, heals and checks the outcome.
#include "fault_matrix.h"

#include <set>

#include "authority_bench_impl.h"

namespace hawthorndrum {
namespace {

constexpr duration kTakeover = seconds(40);
constexpr duration kFaultTime = seconds(100);
/** How long orders are still sent after the faults are healed. */
constexpr duration kOrdersAfterHealTime = seconds(40);
constexpr duration kHealTime = seconds(150);
constexpr int kMaxStepsToReach = 600;

const order_journal* ReadJournal(const authority_bench& bench, order_journal& into) {
  const auto found = bench.store.objects().find("journals/dc");
  if (found == bench.store.objects().end()) return nullptr;
  into = DecodeJournal(found->second.value).value_or(order_journal{});
  return &into;
}

bool IsJournalled(const authority_bench& bench, bool open) {
  order_journal journal;
  if (ReadJournal(bench, journal) == nullptr) return false;
  for (const auto& [engine, row] : journal.rows) {
    if (row.open == open) return true;
  }
  return false;
}

bool IsMarkedAt(authority_bench& bench, int daemon) {
  return bench.daemon(daemon).core.marks->IsMarked(bench.engine(0).id());
}

/** Advances the bench with a few requests starting and ending; keeps the first violation. */
class cell_run {
 public:
  explicit cell_run(authority_bench& bench) : bench_(bench) {}

  void Step() {
    ++count_;
    if (count_ % 3 == 0) {
      bench_.BeginRequest(count_ % bench_.daemon_count(), (count_ / 3) % bench_.engine_count());
    }
    if (count_ % 8 == 0) bench_.EndRequests();
    bench_.Step();
    if (violations_.empty()) violations_ = bench_.Violations();
  }
  /** The lease's holder sends the engine one order after another, alternating its role. */
  void RunWithOrders(duration time) {
    for (duration done{0}; done < time; done += authority_bench::kStep) {
      Step();
      if (count_ % 12 == 0) Propose();
    }
  }
  void Run(duration time) {
    for (duration done{0}; done < time; done += authority_bench::kStep) Step();
  }
  const std::string& violations() const { return violations_; }

 private:
  authority_bench& bench_;
  /** Every other order needs no drain, so that it does not wait for any daemon. */
  void Propose() {
    order_request request;
    request.engine = bench_.engine(0).id();
    request.kind = orders_ % 2 == 0 ? order_kind::kLoadAdapter : order_kind::kSetRole;
    request.role = bench_.engine(0).role == engine_role::kDecode ? engine_role::kPrefill
                                                                 : engine_role::kDecode;
    request.model = "m";
    request.version = "1";
    request.adapter = "a" + std::to_string(orders_);
    if (bench_.Propose(request)) ++orders_;
  }

  int count_ = 0;
  int orders_ = 0;
  std::string violations_;
};

std::string CheckRecovery(authority_bench& bench) {
  int holders = 0;
  bench.Holder(&holders);
  if (holders != 1) return "no single holder after healing; ";
  if (IsJournalled(bench, true)) return "an order is left open; ";
  for (int i = 0; i < bench.daemon_count(); ++i) {
    if (!bench.daemon(i).upstreams.Find(bench.engine(0).id())->TakesWork()) {
      return "the engine is left out of service; ";
    }
  }
  return {};
}

/** Another order must be carried out, or be refused for a legitimate reason. */
std::string TryAnotherOrder(authority_bench& bench, cell_run& run) {
  const engine_role other =
      bench.engine(0).role == engine_role::kDecode ? engine_role::kPrefill : engine_role::kDecode;
  const expected<order_id> order = bench.Propose(0, other);
  if (!order) {
    const bool may_refuse =
        !bench.engine(0).checks_fencing &&
        order.error().message == "an older order may still arrive at the engine";
    return may_refuse ? "" : "another order is refused: " + order.error().message + "; ";
  }
  run.Run(seconds(40));
  return bench.engine(0).role == other ? "" : "another order was not carried out; ";
}

}  // namespace

std::vector<matrix_step> MatrixSteps() {
  using bench = authority_bench;
  return {
      {"lease: renewal under way", [](bench& b) { return b.HasStoreCall("leases/dc", true); }},
      {"order: draining", [](bench& b) { return IsMarkedAt(b, 0) && IsMarkedAt(b, 1); }},
      {"order: journal write under way",
       [](bench& b) { return b.HasStoreCall("journals/dc", true); }},
      {"order: journalled", [](bench& b) { return IsJournalled(b, true); }},
      {"order: in the I/O layer, before the clock check",
       [](bench& b) { return b.HasOrderBeforeClockCheck(); }},
      {"order: between the clock check and the send",
       [](bench& b) { return b.HasOrderAfterClockCheck(); }},
      {"order: answer under way", [](bench& b) { return b.HasOrderAnswered(); }},
      {"role change: engine out of service", [](bench& b) { return !b.engine(0).effects.empty(); }},
      {"role change: done, end not journalled",
       [](bench& b) {
         return b.engine(0).Report().last_order_progress == order_progress::kDone &&
                IsJournalled(b, true);
       }},
      {"role change: end journalled", [](bench& b) { return IsJournalled(b, false); }},
      {"takeover: lease being read", [](bench& b) { return b.HasStoreCall("leases/dc", false); },
       true},
      {"takeover: lease being taken", [](bench& b) { return b.HasStoreCall("leases/dc", true); },
       true},
      {"takeover: journal being sealed",
       [](bench& b) { return b.HasStoreCall("journals/dc", true); }, true},
      {"takeover: order adopted",
       [](bench& b) {
         const int holder = b.Holder();
         return holder >= 0 && b.daemon(holder).core.orders->ready();
       },
       true},
  };
}

std::vector<matrix_fault> MatrixFaults() {
  using bench = authority_bench;
  return {
      {"holder paused", [](bench& b, int h) { b.Pause(h, true); }},
      {"holder paused and taken off the host list",
       [](bench& b, int h) {
         b.Pause(h, true);
         b.Withdraw(h);
       }},
      {"holder killed", [](bench& b, int h) { b.Kill(h); }},
      {"another daemon killed", [](bench& b, int h) { b.Kill((h + 1) % b.daemon_count()); }},
      {"another daemon paused", [](bench& b, int h) { b.Pause((h + 1) % b.daemon_count(), true); }},
      {"holder cut off from the store", [](bench& b, int h) { b.CutStore(h, true); }},
      {"holder cut off from the engines", [](bench& b, int h) { b.CutEngines(h, true); }},
      {"holder cut off from its peers", [](bench& b, int h) { b.CutPeers(h, true); }},
      {"store out", [](bench& b, int) { b.store_down = true; }},
      {"store answers lost", [](bench& b, int) { b.lose_store_answers = 4; }},
      {"store writes land late", [](bench& b, int) { b.delay_store_writes = 2; }},
      {"order's answer lost", [](bench& b, int) { b.lose_order_answers = 1; }},
      {"order arrives late", [](bench& b, int) { b.delay_orders = 1; }},
      {"engine crashes", [](bench& b, int) { b.engine(0).Crash(); }},
      {"messages repeated later", [](bench& b, int) { b.repeat_messages = 40; }},
      {"messages lost", [](bench& b, int) { b.lose_messages = 20; }},
      {"holder's clock slow", [](bench& b, int h) { b.daemon(h).rate = 0.95; }},
      {"load reports late", [](bench& b, int) { b.report_lag = 12; }},
  };
}

std::string RunMatrixCell(const matrix_step& step, const std::vector<matrix_fault>& faults,
                          bool checks_fencing) {
  authority_bench bench(3, {checks_fencing, true, true});
  cell_run run(bench);
  run.Run(kTakeover);
  int holder = bench.Holder();
  if (holder < 0) return "no holder at the start; ";
  if (!bench.Propose(0, engine_role::kDecode)) return "the first order is refused; ";
  if (step.after_adoption) {
    for (int i = 0; i < kMaxStepsToReach && bench.engine(0).effects.empty(); ++i) run.Step();
    bench.Kill(holder);
    run.Run(seconds(2));
  }
  int steps = 0;
  while (!step.reached(bench) && steps < kMaxStepsToReach) {
    run.Step();
    ++steps;
  }
  if (steps == kMaxStepsToReach) return "the step was not reached; ";
  if (bench.Holder() >= 0) holder = bench.Holder();
  for (const matrix_fault& fault : faults) fault.inject(bench, holder);
  run.RunWithOrders(kFaultTime);
  bench.Heal();
  run.RunWithOrders(kOrdersAfterHealTime);
  run.Run(kHealTime);
  std::string violations = run.violations() + CheckRecovery(bench);
  if (violations.empty()) violations = TryAnotherOrder(bench, run) + run.violations();
  return violations;
}

}  // namespace hawthorndrum
