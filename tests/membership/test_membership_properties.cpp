/// Membership under drawn sequences of faults: views converge when the faults end.
#include <gtest/gtest.h>
// After gtest.h, which it extends.
#include <rapidcheck/gtest.h>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kDaemons = 5;
/** Long enough for every suspicion, backoff and comparison of views to have come round. */
constexpr duration kSettle = seconds(90);

enum class fault { kKill, kRestart, kFreeze, kThaw, kBlock, kOpen, kOpenAll, kSlow, kWait };

struct step {
  fault kind = fault::kWait;
  std::size_t daemon = 0;
  std::size_t other = 0;
  int tenths = 0;
};

/** How a failure shows the step. */
std::ostream& operator<<(std::ostream& out, const step& one) {
  return out << static_cast<int>(one.kind) << " " << one.daemon << ">" << one.other << " "
             << one.tenths;
}

rc::Gen<step> AnyStep() {
  return rc::gen::build<step>(
      rc::gen::set(&step::kind, rc::gen::element(fault::kKill, fault::kRestart, fault::kFreeze,
                                                 fault::kThaw, fault::kBlock, fault::kOpen,
                                                 fault::kOpenAll, fault::kSlow, fault::kWait)),
      rc::gen::set(&step::daemon, rc::gen::inRange<std::size_t>(0, kDaemons)),
      rc::gen::set(&step::other, rc::gen::inRange<std::size_t>(0, kDaemons)),
      rc::gen::set(&step::tenths, rc::gen::inRange(0, 150)));
}

/** The addresses' present processes, by place in the group. */
class faulty_group {
 public:
  faulty_group() : group_(20261203) {
    for (std::size_t i = 0; i < kDaemons; ++i) Begin(i);
  }

  void Do(const step& wanted) {
    switch (wanted.kind) {
      case fault::kKill:
        End(wanted.daemon);
        break;
      case fault::kRestart:
        End(wanted.daemon);
        Begin(wanted.daemon);
        break;
      case fault::kFreeze:
      case fault::kThaw:
        if (place_[wanted.daemon]) {
          group_.Freeze(*place_[wanted.daemon], wanted.kind == fault::kFreeze);
        }
        break;
      case fault::kBlock:
      case fault::kOpen:
        group_.network.Block(DaemonAddress(wanted.daemon), DaemonAddress(wanted.other),
                             wanted.kind == fault::kBlock);
        break;
      case fault::kOpenAll:
        OpenAll();
        break;
      case fault::kSlow:
        group_.network.set_latency_to(DaemonAddress(wanted.daemon),
                                      milliseconds(wanted.tenths * 10));
        break;
      case fault::kWait:
        break;
    }
    group_.Advance(milliseconds(100) * wanted.tenths);
  }

  /** Ends all faults but kills. */
  void Heal() {
    OpenAll();
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (place_[i]) group_.Freeze(*place_[i], false);
      group_.network.set_latency_to(DaemonAddress(i), milliseconds(1));
    }
  }

  fake_daemon_group& group() { return group_; }

 private:
  /** The host list lags: it names all addresses, whether a daemon runs there or not. */
  void Begin(std::size_t daemon) {
    place_[daemon] = group_.size();
    std::vector<host_entry> hosts(kDaemons);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      hosts[i].address = DaemonAddress(i);
      hosts[i].kind = host_kind::kDaemon;
      hosts[i].data_centre = "dc1";
    }
    group_.Start(DaemonAddress(daemon)).membership.OnHostList(hosts);
  }
  void End(std::size_t daemon) {
    if (!place_[daemon]) return;
    group_.Freeze(*place_[daemon], false);
    group_.Kill(*place_[daemon]);
    place_[daemon].reset();
  }
  void OpenAll() {
    for (std::size_t a = 0; a < kDaemons; ++a) {
      for (std::size_t b = 0; b < kDaemons; ++b) {
        group_.network.Block(DaemonAddress(a), DaemonAddress(b), false);
      }
    }
  }

  fake_daemon_group group_;
  std::array<std::optional<std::size_t>, kDaemons> place_;
};

RC_GTEST_PROP(membershipprop, LiveAreFoundAndDeadAreDroppedOnceFaultsEnd, ()) {
  const auto steps = *rc::gen::container<std::vector<step>>(12, AnyStep());
  faulty_group faulty;
  for (const step& one : steps) faulty.Do(one);
  faulty.Heal();
  faulty.group().Advance(kSettle);
  RC_ASSERT(faulty.group().ViewsAgree());
}

RC_GTEST_PROP(membershipprop, NoDaemonIsBelievedAliveLongAfterItsDeath, ()) {
  const auto steps = *rc::gen::container<std::vector<step>>(8, AnyStep());
  faulty_group faulty;
  for (const step& one : steps) faulty.Do(one);
  const auto victim = *rc::gen::inRange<std::size_t>(0, kDaemons);
  faulty.Do({fault::kKill, victim, 0, 0});
  // However the other faults go on, nobody can have heard of it any more.
  faulty.group().Advance(seconds(20));
  for (std::size_t i = 0; i < faulty.group().size(); ++i) {
    if (!faulty.group().running(i) || faulty.group().at(i).frozen) continue;
    RC_ASSERT(!faulty.group().at(i).Sees(PeerIdOf(DaemonAddress(victim))));
  }
}

}  // namespace
}  // namespace hawthorndrum
