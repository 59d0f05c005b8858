/// Fault matrix: every fault between daemons at every phase of their work, with the same checks.
#include <gtest/gtest.h>

#include <cstdio>
#include <functional>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kDaemons = 6;
constexpr int kEngines = 24;
/** The daemon that the fault is injected into. */
constexpr std::size_t kVictim = 2;
constexpr duration kFaultLength = seconds(25);
constexpr duration kSettleTime = seconds(60);
/** Maximum age of the reports by which a running daemon may route. */
constexpr duration kMaxReportAge = seconds(14);

/** A client without the key that sends bytes chosen by the test. */
struct raw_client : peer_transport_listener {
  raw_client(fake_peer_network& network, std::string address) : transport(network, address) {
    transport.Start(*this);
  }
  void OnLinkUp(peer_link_id, bool) override {}
  void OnLinkFrame(peer_link_id, boost::span<const std::uint8_t>) override { ++frames; }
  void OnLinkDown(peer_link_id) override { ++downs; }

  fake_peer_transport transport;
  int frames = 0;
  int downs = 0;
};

struct test_cluster {
  test_cluster() {
    for (std::size_t i = 0; i < kDaemons; ++i) group.Start(DaemonAddress(i));
    group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(30));
    group.ListEngines(kEngines);
    group.Advance(seconds(5));
    victim = kVictim;
  }

  void BlockVictim(bool blocked) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (i != kVictim) {
        group.network.BlockBoth(DaemonAddress(kVictim), DaemonAddress(i), blocked);
      }
    }
  }
  void Restart(const std::string& data_centre = "dc1") {
    group.Kill(victim);
    victim = group.size();
    group.Start(DaemonAddress(kVictim), data_centre).listing.OnHostList(group.hosts);
  }
  void SendWithoutKey(const std::vector<std::uint8_t>& bytes) {
    raw_clients.push_back(std::make_unique<raw_client>(
        group.network, "10.66.0." + std::to_string(raw_clients.size()) + ":1"));
    const peer_link_id link = raw_clients.back()->transport.Open(DaemonAddress(0));
    raw_clients.back()->transport.Send(link, bytes);
  }

  fake_daemon_group group;
  /** Index in the group of the victim's current daemon. */
  std::size_t victim = 0;
  std::vector<std::unique_ptr<raw_client>> raw_clients;
};

struct fault {
  const char* name;
  std::function<void(test_cluster&)> begin;
  std::function<void(test_cluster&)> end;
};

/** A phase of the daemons' work in which the fault is injected. */
struct phase {
  const char* name;
  std::function<void(test_cluster&)> prepare;
};

std::vector<std::uint8_t> OtherVersion() {
  std::vector<std::uint8_t> frame(19, 7);
  frame[0] = 'H';
  frame[1] = 'D';
  frame[2] = kPeerProtocolVersion + 1;
  return frame;
}

std::vector<fault> Faults() {
  const auto nothing = [](test_cluster&) {};
  return {
      {"killed", [](test_cluster& s) { s.group.Kill(s.victim); },
       [](test_cluster& s) {
         s.victim = s.group.size();
         s.group.Start(DaemonAddress(kVictim)).listing.OnHostList(s.group.hosts);
       }},
      {"paused, then resumed", [](test_cluster& s) { s.group.Freeze(s.victim); },
       [](test_cluster& s) { s.group.Freeze(s.victim, false); }},
      {"restarted, same address", [](test_cluster& s) { s.Restart(); }, nothing},
      {"address taken by another data centre", [](test_cluster& s) { s.Restart("dc2"); },
       [](test_cluster& s) { s.Restart(); }},
      {"cut from all", [](test_cluster& s) { s.BlockVictim(true); },
       [](test_cluster& s) { s.BlockVictim(false); }},
      {"cut one way from one",
       [](test_cluster& s) { s.group.network.Block(DaemonAddress(kVictim), DaemonAddress(4)); },
       [](test_cluster& s) {
         s.group.network.Block(DaemonAddress(kVictim), DaemonAddress(4), false);
       }},
      {"cut both ways from one",
       [](test_cluster& s) { s.group.network.BlockBoth(DaemonAddress(kVictim), DaemonAddress(4)); },
       [](test_cluster& s) {
         s.group.network.BlockBoth(DaemonAddress(kVictim), DaemonAddress(4), false);
       }},
      {"received by nobody",
       [](test_cluster& s) {
         for (std::size_t i = 0; i < kDaemons; ++i) {
           if (i != kVictim) s.group.network.Block(DaemonAddress(kVictim), DaemonAddress(i));
         }
       },
       [](test_cluster& s) { s.BlockVictim(false); }},
      {"slow link",
       [](test_cluster& s) {
         s.group.network.set_latency_to(DaemonAddress(kVictim), milliseconds(800));
       },
       [](test_cluster& s) {
         s.group.network.set_latency_to(DaemonAddress(kVictim), milliseconds(1));
       }},
      {"malformed frame, no key",
       [](test_cluster& s) { s.SendWithoutKey(std::vector<std::uint8_t>(200, 0xd9)); }, nothing},
      {"oversized frame, no key",
       [](test_cluster& s) { s.SendWithoutKey(std::vector<std::uint8_t>(kMaxFrameBytes + 1)); },
       nothing},
      {"other protocol version", [](test_cluster& s) { s.SendWithoutKey(OtherVersion()); },
       nothing},
      {"malformed messages from a peer",
       [](test_cluster& s) {
         for (int topic = 1; topic < 80; ++topic) {
           const auto kind = static_cast<peer_topic>(topic);
           if (!s.group.running(s.victim)) return;
           s.group.at(s.victim).router.Send(PeerIdOf(DaemonAddress(0)), {kind, {0x9f, 0xff, 0x01}});
         }
       },
       nothing},
      {"host list empty",
       [](test_cluster& s) {
         for (std::size_t i = 0; i < s.group.size(); ++i) {
           if (s.group.running(i)) s.group.at(i).listing.OnHostList({});
         }
       },
       [](test_cluster& s) { s.group.SendHostList(); }},
  };
}

std::vector<phase> Phases() {
  return {
      {"steady", [](test_cluster&) {}},
      {"while a daemon joins",
       [](test_cluster& s) {
         s.group.Start(DaemonAddress(kDaemons)).listing.OnHostList(s.group.hosts);
         s.group.Advance(milliseconds(300));
       }},
      {"while another is suspected",
       [](test_cluster& s) {
         s.group.Kill(5);
         s.group.Advance(milliseconds(1500));
       }},
      {"while another's engines move",
       [](test_cluster& s) {
         s.group.Kill(5);
         s.group.Advance(milliseconds(1900));
       }},
      {"while an upstream leaves",
       [](test_cluster& s) {
         s.group.hosts[0].leaving = true;
         s.group.at(0).listing.OnHostList(s.group.hosts);
       }},
  };
}

/** Returns the age of the oldest report in use at any running daemon of dc1. */
duration OldestReportAge(test_cluster& s) {
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

bool EachEngineHasOneOwner(test_cluster& s) {
  for (const auto& [id, report] : s.group.engines.reports) {
    int owners = 0;
    for (std::size_t i = 0; i < s.group.size(); ++i) {
      if (s.group.running(i) && s.group.at(i).load.Owns(id)) ++owners;
    }
    if (owners != 1) return false;
  }
  return true;
}

bool LeavingReachesAll(test_cluster& s) {
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

/** Returns the first check that failed, or an empty string. */
std::string RunCell(const fault& injected, const phase& during) {
  test_cluster s;
  during.prepare(s);
  injected.begin(s);
  bool stale = false;
  const auto watch = [&] { stale = stale || OldestReportAge(s) > kMaxReportAge; };
  s.group.Advance(kFaultLength, watch);
  if (stale) return "reports became stale during the fault";
  injected.end(s);
  // Lets reports that went stale during a pause be renewed first.
  s.group.Advance(kSettleTime);
  if (!s.group.ViewsAgree()) return "views differ";
  if (!EachEngineHasOneOwner(s)) return "an engine has no owner or several";
  if (OldestReportAge(s) > kMaxReportAge) return "reports are stale after the fault";
  if (!LeavingReachesAll(s)) return "a leaving upstream is not known to all within 2 s";
  for (const auto& client : s.raw_clients) {
    if (client->downs != 1) return "the link of a client without the key was not closed";
    if (client->frames > 1) return "a client without the key was sent more than the challenge";
  }
  return {};
}

TEST(faultmatrix, EveryFaultInEveryPhase) {
  int passed = 0;
  int failed = 0;
  for (const fault& injected : Faults()) {
    for (const phase& during : Phases()) {
      const std::string finding = RunCell(injected, during);
      std::printf("%-32s %-30s %s\n", injected.name, during.name,
                  finding.empty() ? "passed" : finding.c_str());
      EXPECT_EQ(finding, "") << injected.name << ", " << during.name;
      ++(finding.empty() ? passed : failed);
    }
  }
  std::printf("fault matrix: %d cells, %d passed, %d failed\n", passed + failed, passed, failed);
}

}  // namespace
}  // namespace hawthorndrum
