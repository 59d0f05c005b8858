/// Every fault between daemons at every moment of their work, with the same checks after each.
#include <gtest/gtest.h>

#include <cstdio>
#include <functional>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kDaemons = 6;
constexpr int kEngines = 24;
/** The daemon that the fault strikes. */
constexpr std::size_t kVictim = 2;
constexpr duration kFaultLength = seconds(25);
constexpr duration kSettle = seconds(60);
/** No running daemon may go on routing by reports older than this. */
constexpr duration kOldestReport = seconds(14);

/** A connection from a stranger, which says what a test makes it say. */
struct intruder : peer_transport_listener {
  intruder(fake_peer_network& network, std::string address) : transport(network, address) {
    transport.Start(*this);
  }
  void OnLinkUp(peer_link_id, bool) override {}
  void OnLinkFrame(peer_link_id, boost::span<const std::uint8_t>) override { ++frames; }
  void OnLinkDown(peer_link_id) override { ++downs; }

  fake_peer_transport transport;
  int frames = 0;
  int downs = 0;
};

struct scene {
  scene() {
    for (std::size_t i = 0; i < kDaemons; ++i) group.Start(DaemonAddress(i));
    group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(30));
    group.ListEngines(kEngines);
    group.Advance(seconds(5));
    last = kVictim;
  }

  void BlockVictim(bool blocked) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (i != kVictim) {
        group.network.BlockBoth(DaemonAddress(kVictim), DaemonAddress(i), blocked);
      }
    }
  }
  void Restart(const std::string& data_centre = "dc1") {
    group.Kill(last);
    last = group.size();
    group.Start(DaemonAddress(kVictim), data_centre).listing.OnHostList(group.hosts);
  }
  void Intrude(const std::vector<std::uint8_t>& bytes) {
    intruders.push_back(std::make_unique<intruder>(
        group.network, "10.66.0." + std::to_string(intruders.size()) + ":1"));
    const peer_link_id link = intruders.back()->transport.Open(DaemonAddress(0));
    intruders.back()->transport.Send(link, bytes);
  }

  fake_daemon_group group;
  /** Where the victim's present process is in the group. */
  std::size_t last = 0;
  std::vector<std::unique_ptr<intruder>> intruders;
};

struct fault {
  const char* name;
  std::function<void(scene&)> begin;
  std::function<void(scene&)> end;
};

/** A moment of the daemons' work at which the fault strikes. */
struct moment {
  const char* name;
  std::function<void(scene&)> prepare;
};

std::vector<std::uint8_t> OtherVersion() {
  std::vector<std::uint8_t> frame(19, 7);
  frame[0] = 'H';
  frame[1] = 'D';
  frame[2] = kPeerProtocolVersion + 1;
  return frame;
}

std::vector<fault> Faults() {
  const auto nothing = [](scene&) {};
  return {
      {"killed", [](scene& s) { s.group.Kill(s.last); },
       [](scene& s) {
         s.last = s.group.size();
         s.group.Start(DaemonAddress(kVictim)).listing.OnHostList(s.group.hosts);
       }},
      {"paused, then awake", [](scene& s) { s.group.Freeze(s.last); },
       [](scene& s) { s.group.Freeze(s.last, false); }},
      {"restarted, same address", [](scene& s) { s.Restart(); }, nothing},
      {"address to another data centre", [](scene& s) { s.Restart("dc2"); },
       [](scene& s) { s.Restart(); }},
      {"cut from all", [](scene& s) { s.BlockVictim(true); },
       [](scene& s) { s.BlockVictim(false); }},
      {"cut one way from one",
       [](scene& s) { s.group.network.Block(DaemonAddress(kVictim), DaemonAddress(4)); },
       [](scene& s) { s.group.network.Block(DaemonAddress(kVictim), DaemonAddress(4), false); }},
      {"cut both ways from one",
       [](scene& s) { s.group.network.BlockBoth(DaemonAddress(kVictim), DaemonAddress(4)); },
       [](scene& s) {
         s.group.network.BlockBoth(DaemonAddress(kVictim), DaemonAddress(4), false);
       }},
      {"heard by nobody",
       [](scene& s) {
         for (std::size_t i = 0; i < kDaemons; ++i) {
           if (i != kVictim) s.group.network.Block(DaemonAddress(kVictim), DaemonAddress(i));
         }
       },
       [](scene& s) { s.BlockVictim(false); }},
      {"slow link",
       [](scene& s) { s.group.network.set_latency_to(DaemonAddress(kVictim), milliseconds(800)); },
       [](scene& s) { s.group.network.set_latency_to(DaemonAddress(kVictim), milliseconds(1)); }},
      {"rubbish from a stranger", [](scene& s) { s.Intrude(std::vector<std::uint8_t>(200, 0xd9)); },
       nothing},
      {"huge frame from a stranger",
       [](scene& s) { s.Intrude(std::vector<std::uint8_t>(kMaxFrameBytes + 1)); }, nothing},
      {"other protocol version", [](scene& s) { s.Intrude(OtherVersion()); }, nothing},
      {"rubbish from a peer",
       [](scene& s) {
         for (int topic = 1; topic < 80; ++topic) {
           const auto kind = static_cast<peer_topic>(topic);
           if (!s.group.running(s.last)) return;
           s.group.at(s.last).router.Send(PeerIdOf(DaemonAddress(0)), {kind, {0x9f, 0xff, 0x01}});
         }
       },
       nothing},
      {"host list empty",
       [](scene& s) {
         for (std::size_t i = 0; i < s.group.size(); ++i) {
           if (s.group.running(i)) s.group.at(i).listing.OnHostList({});
         }
       },
       [](scene& s) { s.group.GiveHostList(); }},
  };
}

std::vector<moment> Moments() {
  return {
      {"steady", [](scene&) {}},
      {"while a daemon joins",
       [](scene& s) {
         s.group.Start(DaemonAddress(kDaemons)).listing.OnHostList(s.group.hosts);
         s.group.Advance(milliseconds(300));
       }},
      {"while another is suspected",
       [](scene& s) {
         s.group.Kill(5);
         s.group.Advance(milliseconds(1500));
       }},
      {"while another's engines move",
       [](scene& s) {
         s.group.Kill(5);
         s.group.Advance(milliseconds(1900));
       }},
      {"while an upstream leaves",
       [](scene& s) {
         s.group.hosts[0].leaving = true;
         s.group.at(0).listing.OnHostList(s.group.hosts);
       }},
  };
}

/** The oldest report that a daemon that may route uses now. */
duration OldestReport(scene& s) {
  duration oldest{0};
  for (std::size_t i = 0; i < s.group.size(); ++i) {
    if (!s.group.running(i) || s.group.at(i).frozen) continue;
    if (s.group.at(i).router.identity().data_centre != "dc1") continue;
    for (const upstream& row : s.group.at(i).upstreams) {
      if (row.has_report) oldest = std::max(oldest, s.group.time.Now() - row.report_time);
    }
  }
  return oldest;
}

bool EachEngineHasOneOwner(scene& s) {
  for (const auto& [id, report] : s.group.engines.reports) {
    int owners = 0;
    for (std::size_t i = 0; i < s.group.size(); ++i) {
      if (s.group.running(i) && s.group.at(i).load.Owns(id)) ++owners;
    }
    if (owners != 1) return false;
  }
  return true;
}

bool LeavingIsKnownToAll(scene& s) {
  const upstream_id id = UpstreamIdOf(s.group.hosts[1].address);
  s.group.hosts[1].leaving = true;
  s.group.at(0).listing.OnHostList(s.group.hosts);
  return s.group.AdvanceUntil(
      [&] {
        for (std::size_t i = 0; i < s.group.size(); ++i) {
          if (!s.group.running(i)) continue;
          const upstream* row = s.group.at(i).upstreams.Find(id);
          if (row == nullptr || !row->leaving.any()) return false;
        }
        return true;
      },
      seconds(2));
}

/** Returns what went wrong, or nothing. */
std::string RunOne(const fault& wrong, const moment& when) {
  scene s;
  when.prepare(s);
  wrong.begin(s);
  bool stale = false;
  const auto watch = [&] { stale = stale || OldestReport(s) > kOldestReport; };
  s.group.Advance(kFaultLength, watch);
  if (stale) return "reports grew old";
  wrong.end(s);
  // What a pause left old is renewed first.
  s.group.Advance(kSettle);
  if (!s.group.ViewsAgree()) return "views differ";
  if (!EachEngineHasOneOwner(s)) return "an engine has no owner or several";
  if (OldestReport(s) > kOldestReport) return "reports are old";
  if (!LeavingIsKnownToAll(s)) return "a leaving upstream is not known to all within 2 s";
  for (const auto& stranger : s.intruders) {
    if (stranger->downs != 1) return "a stranger was not closed";
    if (stranger->frames > 1) return "a stranger was told something";
  }
  return {};
}

TEST(faultmatrix, EveryFaultAtEveryMoment) {
  int passed = 0;
  int failed = 0;
  for (const fault& wrong : Faults()) {
    for (const moment& when : Moments()) {
      const std::string finding = RunOne(wrong, when);
      std::printf("%-32s %-30s %s\n", wrong.name, when.name,
                  finding.empty() ? "passed" : finding.c_str());
      EXPECT_EQ(finding, "") << wrong.name << ", " << when.name;
      ++(finding.empty() ? passed : failed);
    }
  }
  std::printf("fault matrix: %d cells, %d passed, %d failed\n", passed + failed, passed, failed);
}

}  // namespace
}  // namespace hawthorndrum
