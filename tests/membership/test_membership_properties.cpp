/// Membership under random sequences of faults: views converge once the faults end.
#include <gtest/gtest.h>
// After gtest.h, which it extends.
#include <rapidcheck/gtest.h>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kDaemons = 5;
/** Long enough for every suspicion, backoff and comparison of views to complete. */
constexpr duration kSettleTime = seconds(90);

enum class fault { kKill, kRestart, kFreeze, kResume, kBlock, kUnblock, kUnblockAll, kSlow, kWait };

struct step {
  fault kind = fault::kWait;
  std::size_t daemon = 0;
  std::size_t other = 0;
  int tenths = 0;
};

/** Prints the step in failure messages. */
std::ostream& operator<<(std::ostream& out, const step& one) {
  return out << static_cast<int>(one.kind) << " " << one.daemon << ">" << one.other << " "
             << one.tenths;
}

rc::Gen<step> AnyStep() {
  return rc::gen::build<step>(
      rc::gen::set(&step::kind, rc::gen::element(fault::kKill, fault::kRestart, fault::kFreeze,
                                                 fault::kResume, fault::kBlock, fault::kUnblock,
                                                 fault::kUnblockAll, fault::kSlow, fault::kWait)),
      rc::gen::set(&step::daemon, rc::gen::inRange<std::size_t>(0, kDaemons)),
      rc::gen::set(&step::other, rc::gen::inRange<std::size_t>(0, kDaemons)),
      rc::gen::set(&step::tenths, rc::gen::inRange(0, 150)));
}

/** Applies faults to a group; maps each address to the index of its current daemon. */
class faulty_group {
 public:
  faulty_group() : group_(20261203) {
    for (std::size_t i = 0; i < kDaemons; ++i) StartDaemon(i);
  }

  void Apply(const step& fault_step) {
    switch (fault_step.kind) {
      case fault::kKill:
        KillDaemon(fault_step.daemon);
        break;
      case fault::kRestart:
        KillDaemon(fault_step.daemon);
        StartDaemon(fault_step.daemon);
        break;
      case fault::kFreeze:
      case fault::kResume:
        if (index_[fault_step.daemon]) {
          group_.Freeze(*index_[fault_step.daemon], fault_step.kind == fault::kFreeze);
        }
        break;
      case fault::kBlock:
      case fault::kUnblock:
        group_.network.Block(DaemonAddress(fault_step.daemon), DaemonAddress(fault_step.other),
                             fault_step.kind == fault::kBlock);
        break;
      case fault::kUnblockAll:
        UnblockAll();
        break;
      case fault::kSlow:
        group_.network.set_latency_to(DaemonAddress(fault_step.daemon),
                                      milliseconds(fault_step.tenths * 10));
        break;
      case fault::kWait:
        break;
    }
    group_.Advance(milliseconds(100) * fault_step.tenths);
  }

  /** Ends all faults except kills. */
  void EndFaults() {
    UnblockAll();
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (index_[i]) group_.Freeze(*index_[i], false);
      group_.network.set_latency_to(DaemonAddress(i), milliseconds(1));
    }
  }

  fake_daemon_group& group() { return group_; }

 private:
  /** Starts a daemon. Its host list is stale: it names all addresses, running or not. */
  void StartDaemon(std::size_t daemon) {
    index_[daemon] = group_.size();
    std::vector<host_entry> hosts(kDaemons);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      hosts[i].address = DaemonAddress(i);
      hosts[i].kind = host_kind::kDaemon;
      hosts[i].data_centre = "dc1";
    }
    group_.Start(DaemonAddress(daemon)).membership.OnHostList(hosts);
  }
  void KillDaemon(std::size_t daemon) {
    if (!index_[daemon]) return;
    group_.Freeze(*index_[daemon], false);
    group_.Kill(*index_[daemon]);
    index_[daemon].reset();
  }
  void UnblockAll() {
    for (std::size_t a = 0; a < kDaemons; ++a) {
      for (std::size_t b = 0; b < kDaemons; ++b) {
        group_.network.Block(DaemonAddress(a), DaemonAddress(b), false);
      }
    }
  }

  fake_daemon_group group_;
  std::array<std::optional<std::size_t>, kDaemons> index_;
};

RC_GTEST_PROP(membershipprop, ViewsMatchTheRunningDaemonsOnceFaultsEnd, ()) {
  const auto steps = *rc::gen::container<std::vector<step>>(12, AnyStep());
  faulty_group faulty;
  for (const step& one : steps) faulty.Apply(one);
  faulty.EndFaults();
  faulty.group().Advance(kSettleTime);
  RC_ASSERT(faulty.group().ViewsAgree());
}

RC_GTEST_PROP(membershipprop, NoDaemonIsConsideredAliveLongAfterItsDeath, ()) {
  const auto steps = *rc::gen::container<std::vector<step>>(8, AnyStep());
  faulty_group faulty;
  for (const step& one : steps) faulty.Apply(one);
  const auto victim = *rc::gen::inRange<std::size_t>(0, kDaemons);
  faulty.Apply({fault::kKill, victim, 0, 0});
  // Whatever the other faults do, no daemon can have received a frame from it any more.
  faulty.group().Advance(seconds(20));
  for (std::size_t i = 0; i < faulty.group().size(); ++i) {
    if (!faulty.group().running(i) || faulty.group().at(i).frozen) continue;
    RC_ASSERT(!faulty.group().at(i).Sees(PeerIdOf(DaemonAddress(victim))));
  }
}

}  // namespace
}  // namespace hawthorndrum
