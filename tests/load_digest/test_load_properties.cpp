/// Tests load messages that are lost, duplicated and reordered: receivers converge to the owner's
/// reports.
#include <gtest/gtest.h>
// After gtest.h, which it extends.
#include <rapidcheck/gtest.h>

#include <deque>

#include "base/hash.h"
#include "fake_clock.h"
#include "fake_engines.h"
#include "fake_random_source.h"
#include "systems/load_digest_system.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kEngines = 4;

/** A peer port that queues messages for the test to deliver. */
struct manual_peer_port : peer_port {
  void Send(peer_id, peer_message message) override { sent.push_back(std::move(message)); }
  const std::vector<live_peer>& Peers() const override { return peers; }
  peer_id self() const override { return own; }

  peer_id own;
  std::vector<live_peer> peers;
  std::deque<peer_message> sent;
};

struct test_daemon {
  test_daemon(const clock& time, fake_engines& engines, std::uint64_t id, std::uint64_t other)
      : random(id), port(engines), load(upstreams, peers, port, time, random, metrics) {
    peers.own = peer_id(id);
    peers.peers = {{peer_id(other), incarnation_id(other), true, true}};
    for (const auto& [engine, report] : engines.reports) {
      upstream row;
      row.id = engine;
      row.address = std::to_string(engine.value());
      upstreams.Insert(std::move(row));
    }
  }

  metrics_registry metrics;
  fake_random_source random;
  manual_peer_port peers;
  fake_engine_port port;
  upstream_table upstreams;
  load_digest_system load;
};

/** How a message of one tick is delivered: normally, never, twice, or later. */
enum class delivery { kArrives, kLost, kTwice, kHeld };

struct round {
  std::vector<delivery> deliveries;
  std::uint32_t load = 0;
  std::size_t engine = 0;
};

/** Prints the round when a property fails. */
std::ostream& operator<<(std::ostream& out, const round& one) {
  for (const delivery each : one.deliveries) out << static_cast<int>(each);
  return out << " load " << one.load << " engine " << one.engine;
}

rc::Gen<round> AnyRound() {
  return rc::gen::build<round>(
      rc::gen::set(&round::deliveries, rc::gen::container<std::vector<delivery>>(
                                           4, rc::gen::element(delivery::kArrives, delivery::kLost,
                                                               delivery::kTwice, delivery::kHeld))),
      rc::gen::set(&round::load, rc::gen::inRange<std::uint32_t>(0, 200)),
      rc::gen::set(&round::engine, rc::gen::inRange<std::size_t>(0, kEngines)));
}

class lossy_pair {
 public:
  lossy_pair() {
    for (std::size_t i = 0; i < kEngines; ++i) engines.Add("engine" + std::to_string(i));
    a = std::make_unique<test_daemon>(now, engines, 1001, 2002);
    b = std::make_unique<test_daemon>(now, engines, 2002, 1001);
  }

  void Tick(const std::vector<delivery>& deliveries) {
    now.Advance(milliseconds(250));
    for (test_daemon* one : {a.get(), b.get()}) {
      one->port.AnswerAll(one->load);
      one->load.Run(now.Now());
    }
    Deliver(*a, *b, held_ab, deliveries);
    Deliver(*b, *a, held_ba, deliveries);
  }

  bool Agree() {
    for (const auto& [id, report] : engines.reports) {
      for (test_daemon* one : {a.get(), b.get()}) {
        const upstream* row = one->upstreams.Find(id);
        if (!row->has_report || row->report.running != report.running) return false;
        if (now.Now() - row->report_time > seconds(6)) return false;
      }
    }
    return true;
  }

  fake_clock now;
  fake_engines engines;
  std::unique_ptr<test_daemon> a;
  std::unique_ptr<test_daemon> b;
  std::deque<peer_message> held_ab;
  std::deque<peer_message> held_ba;

 private:
  void Deliver(test_daemon& from, test_daemon& to, std::deque<peer_message>& held,
               const std::vector<delivery>& deliveries) {
    std::deque<peer_message> sent;
    sent.swap(from.peers.sent);
    for (std::size_t i = 0; i < sent.size(); ++i) {
      const delivery one =
          deliveries.empty() ? delivery::kArrives : deliveries[i % deliveries.size()];
      if (one == delivery::kLost) continue;
      if (one == delivery::kHeld) {
        held.push_back(sent[i]);
        continue;
      }
      to.load.OnPeerMessage(from.peers.own, sent[i]);
      if (one == delivery::kTwice) to.load.OnPeerMessage(from.peers.own, sent[i]);
    }
    // Held messages arrive out of order, after ones that were sent later.
    if (held.size() > 3) {
      to.load.OnPeerMessage(from.peers.own, held.front());
      held.pop_front();
    }
  }
};

RC_GTEST_PROP(loadprop, ReportsConvergeAndTimesNeverGoBack, ()) {
  const auto rounds = *rc::gen::container<std::vector<round>>(40, AnyRound());
  lossy_pair pair;
  std::map<upstream_id, time_point> newest;
  for (const round& one : rounds) {
    std::next(pair.engines.reports.begin(), static_cast<std::ptrdiff_t>(one.engine))
        ->second.running = one.load;
    pair.Tick(one.deliveries);
    for (const upstream& row : pair.b->upstreams) {
      RC_ASSERT(row.report_time >= newest[row.id]);
      RC_ASSERT(row.report_time <= pair.now.Now());
      newest[row.id] = row.report_time;
    }
  }
  // Far from all generated loads, so that every change is large enough to be sent.
  for (auto& [id, report] : pair.engines.reports) report.running = 1000;
  for (int i = 0; i < 60; ++i) pair.Tick({});
  RC_ASSERT(pair.Agree());
}

RC_GTEST_PROP(loadprop, AnyBytesAreTakenWithoutHarm, (std::vector<std::uint8_t> bytes)) {
  lossy_pair pair;
  pair.a->load.OnPeerMessage(peer_id(2002), {peer_topic::kLoadDelta, bytes});
  for (int i = 0; i < 20; ++i) pair.Tick({});
  RC_ASSERT(pair.Agree());
}

RC_GTEST_PROP(loadprop, FullEntriesSurviveTheWire, ()) {
  load_message message;
  message.sequence = *rc::gen::arbitrary<std::uint64_t>();
  const auto count = *rc::gen::inRange<std::size_t>(0, 5);
  for (std::size_t i = 0; i < count; ++i) {
    load_full full;
    full.slot = *rc::gen::inRange<load_slot>(0, kMaxLoadSlots);
    full.report.upstream = upstream_id(*rc::gen::arbitrary<std::uint64_t>());
    full.report.running = *rc::gen::arbitrary<std::uint32_t>();
    full.report.kv_total_bytes = *rc::gen::arbitrary<std::uint64_t>();
    full.report.state = *rc::gen::element(engine_state::kReady, engine_state::kDraining);
    full.report.models.push_back({"model", "v", {"x", "y"}});
    message.fulls.push_back(full);
  }
  const auto decoded = DecodeLoad(Encode(message));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->sequence == message.sequence);
  RC_ASSERT(decoded->fulls.size() == message.fulls.size());
  for (std::size_t i = 0; i < count; ++i) {
    const load_report& sent = message.fulls[i].report;
    const load_report& got = decoded->fulls[i].report;
    RC_ASSERT(got.upstream == sent.upstream && got.running == sent.running);
    RC_ASSERT(got.kv_total_bytes == sent.kv_total_bytes && got.state == sent.state);
    RC_ASSERT(got.models.size() == 1u && got.models[0].adapters.size() == 2u);
  }
}

}  // namespace
}  // namespace hawthorndrum
