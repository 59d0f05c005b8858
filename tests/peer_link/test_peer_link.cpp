/// Links between daemons: proof of the key, framing and limits.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "base/hash.h"
#include "fake_clock.h"
#include "fake_peer_network.h"
#include "fake_random_source.h"
#include "systems/peer_router.h"

namespace hawthorndrum {
namespace {

constexpr char kKey[] = "a shared key";

struct message_log : peer_listener {
  void OnPeerMessage(peer_id from, const peer_message& message) override {
    received.emplace_back(from, message);
  }
  std::vector<std::pair<peer_id, peer_message>> received;
};

daemon_identity Identity(const std::string& address, std::uint64_t incarnation) {
  return {PeerIdOf(address), incarnation_id(incarnation), address, "dc1", "region1"};
}

struct node {
  node(fake_peer_network& network, const clock& time, const std::string& address,
       std::uint64_t incarnation, const std::string& key = kKey)
      : random(incarnation),
        transport(network, address),
        router({Identity(address, incarnation), key}, transport, time, random, metrics) {
    transport.Start(router);
    router.Register(peer_topic::kClaimQuery, log);
    router.Register(peer_topic::kStatus, log);
  }

  std::uint64_t Closed(const std::string& reason) {
    return metrics.Counter("hawthorndrum_peer_links_closed_total", MetricLabel("reason", reason))
        .value();
  }
  std::uint64_t Dropped(const std::string& reason) {
    return metrics
        .Counter("hawthorndrum_peer_messages_dropped_total", MetricLabel("reason", reason))
        .value();
  }

  metrics_registry metrics;
  fake_random_source random;
  fake_peer_transport transport;
  peer_router router;
  message_log log;
};

struct linking : testing::Test {
  void Advance(duration time) {
    for (duration passed{0}; passed < time; passed += milliseconds(50)) {
      now.Advance(milliseconds(50));
      network.Step();
      a.router.Run(now.Now());
      b.router.Run(now.Now());
    }
    network.Step();
  }

  fake_clock now;
  fake_peer_network network{now};
  node a{network, now, "10.0.0.1:1", 11};
  node b{network, now, "10.0.0.2:1", 22};
};

/** A client without the key on the peers' port, driven by the test frame by frame. */
struct raw_client : peer_transport_listener {
  raw_client(fake_peer_network& network, const std::string& address) : transport(network, address) {
    transport.Start(*this);
  }
  void OnLinkUp(peer_link_id, bool) override { up = true; }
  void OnLinkFrame(peer_link_id, boost::span<const std::uint8_t> frame) override {
    frames.emplace_back(frame.begin(), frame.end());
  }
  void OnLinkDown(peer_link_id) override { down = true; }

  fake_peer_transport transport;
  bool up = false;
  bool down = false;
  std::vector<std::vector<std::uint8_t>> frames;
};

TEST_F(linking, LinkDeliversAMessage) {
  a.router.Connect("10.0.0.2:1");
  Advance(milliseconds(500));
  ASSERT_TRUE(a.router.IsLinked(b.router.self()));
  ASSERT_TRUE(b.router.IsLinked(a.router.self()));
  a.router.Send(b.router.self(), {peer_topic::kClaimQuery, {1, 2, 3}});
  Advance(milliseconds(50));
  ASSERT_EQ(b.log.received.size(), 1u);
  EXPECT_EQ(b.log.received[0].first, a.router.self());
  EXPECT_EQ(b.log.received[0].second.body, (std::vector<std::uint8_t>{1, 2, 3}));
}

TEST_F(linking, PeriodicMessagesShareTheNextFrame) {
  a.router.Connect("10.0.0.2:1");
  Advance(milliseconds(500));
  const std::uint64_t before = network.frames();
  for (std::uint8_t i = 0; i < 5; ++i) {
    a.router.Send(b.router.self(), {peer_topic::kStatus, {i}});
  }
  Advance(kFrameInterval + milliseconds(100));
  EXPECT_EQ(b.log.received.size(), 5u);
  EXPECT_LE(network.frames() - before, 4u);
}

TEST_F(linking, BothSidesDialAndKeepOneLink) {
  a.router.Connect("10.0.0.2:1");
  b.router.Connect("10.0.0.1:1");
  Advance(seconds(1));
  ASSERT_EQ(a.router.link_count(), 1u);
  ASSERT_EQ(b.router.link_count(), 1u);
  a.router.Send(b.router.self(), {peer_topic::kClaimQuery, {1}});
  b.router.Send(a.router.self(), {peer_topic::kClaimQuery, {2}});
  Advance(milliseconds(100));
  EXPECT_EQ(b.log.received.size(), 1u);
  EXPECT_EQ(a.log.received.size(), 1u);
}

TEST_F(linking, AnotherKeyIsRefusedAndLearnsNothing) {
  node other(network, now, "10.0.0.3:1", 33, "another key");
  a.router.Connect("10.0.0.3:1");
  other.router.Connect("10.0.0.2:1");
  Advance(seconds(1));
  EXPECT_EQ(other.router.link_count(), 0u);
  EXPECT_EQ(a.router.link_count() + b.router.link_count(), 0u);
  EXPECT_EQ(b.Closed("proof"), 1u);
}

TEST_F(linking, ClientWithoutKeyReceivesOnlyTheChallenge) {
  raw_client client(network, "10.0.0.9:1");
  const peer_link_id link = client.transport.Open("10.0.0.1:1");
  Advance(milliseconds(100));
  ASSERT_EQ(client.frames.size(), 1u);
  EXPECT_EQ(client.frames[0].size(), 19u);
  // The daemon's own challenge, reflected, must not count as a proof either.
  client.transport.Send(link, client.frames[0]);
  Advance(milliseconds(100));
  EXPECT_TRUE(client.down);
  EXPECT_EQ(client.frames.size(), 1u);
  EXPECT_EQ(a.Closed("proof"), 1u);
}

TEST_F(linking, SilentClientIsClosed) {
  raw_client client(network, "10.0.0.9:1");
  client.transport.Open("10.0.0.1:1");
  Advance(seconds(4));
  EXPECT_TRUE(client.down);
  EXPECT_EQ(a.Closed("handshake_timeout"), 1u);
}

TEST_F(linking, AnotherProtocolVersionIsRefused) {
  raw_client client(network, "10.0.0.9:1");
  const peer_link_id link = client.transport.Open("10.0.0.1:1");
  Advance(milliseconds(100));
  std::vector<std::uint8_t> challenge = client.frames.at(0);
  challenge[2] = kPeerProtocolVersion + 1;
  client.transport.Send(link, challenge);
  Advance(milliseconds(100));
  EXPECT_TRUE(client.down);
  EXPECT_EQ(a.Closed("version"), 1u);
}

TEST_F(linking, MalformedAndOversizedFramesCloseTheLink) {
  for (const std::size_t size : {std::size_t{1}, std::size_t{500}, kMaxFrameBytes + 1}) {
    raw_client client(network, "10.0.0.9:1");
    const peer_link_id link = client.transport.Open("10.0.0.1:1");
    client.transport.Send(link, std::vector<std::uint8_t>(size, 0x9f));
    Advance(milliseconds(100));
    EXPECT_TRUE(client.down) << size;
  }
  EXPECT_EQ(a.Closed("rubbish"), 2u);
  EXPECT_EQ(a.Closed("too_large"), 1u);
}

TEST_F(linking, SlowLinkDropsMessagesBeyondItsQueueLimit) {
  a.router.Connect("10.0.0.2:1");
  Advance(milliseconds(500));
  network.Block("10.0.0.1:1", "10.0.0.2:1");
  for (int i = 0; i < 100; ++i) {
    a.router.Send(b.router.self(),
                  {peer_topic::kClaimQuery, std::vector<std::uint8_t>(100 * 1024)});
  }
  EXPECT_GT(a.Dropped("slow_link"), 50u);
  EXPECT_LE(a.router.MemoryBytes(), std::size_t{5} * 1024 * 1024);
}

TEST_F(linking, UnknownTopicIsCountedAndDropped) {
  a.router.Connect("10.0.0.2:1");
  Advance(milliseconds(500));
  a.router.Send(b.router.self(), {static_cast<peer_topic>(999), {1}});
  Advance(milliseconds(50));
  EXPECT_EQ(b.Dropped("unknown_topic"), 1u);
  EXPECT_TRUE(b.router.IsLinked(a.router.self()));
}

TEST(sealing, ReplayedReorderedAndForgedFramesBreakTheSession) {
  for (int fault = 0; fault < 3; ++fault) {
    fake_random_source random(7);
    peer_session dialler(kKey, true, random);
    peer_session acceptor(kKey, false, random);
    std::vector<peer_message> messages;
    ASSERT_TRUE(acceptor.Accept(dialler.Challenge(), messages));
    ASSERT_TRUE(dialler.Accept(acceptor.Challenge(), messages));
    ASSERT_TRUE(dialler.MustSendProof());
    ASSERT_TRUE(acceptor.Accept(dialler.Seal({}), messages));
    auto first = dialler.Seal({{peer_topic::kStatus, {1}}});
    const auto second = dialler.Seal({{peer_topic::kStatus, {2}}});
    if (fault == 0) {
      ASSERT_TRUE(acceptor.Accept(first, messages));
      EXPECT_FALSE(acceptor.Accept(first, messages)) << "replayed";
    } else if (fault == 1) {
      EXPECT_FALSE(acceptor.Accept(second, messages)) << "out of order";
    } else {
      first.back() ^= 1;
      EXPECT_FALSE(acceptor.Accept(first, messages)) << "forged";
    }
    EXPECT_EQ(acceptor.fault(), session_fault::kProof);
  }
}

TEST(sealing, ReflectedChallengeIsRefused) {
  fake_random_source random(7);
  peer_session dialler(kKey, true, random);
  std::vector<peer_message> messages;
  EXPECT_FALSE(dialler.Accept(dialler.Challenge(), messages));
  EXPECT_EQ(dialler.fault(), session_fault::kProof);
}

TEST(cbor, DeepNestingAndFalseLengthsAreRefused) {
  EXPECT_FALSE(DecodeCbor(std::vector<std::uint8_t>(1 << 20, 0x81)));
  EXPECT_FALSE(DecodeCbor(std::vector<std::uint8_t>{0x9b, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0}));
  EXPECT_FALSE(DecodeCbor(std::vector<std::uint8_t>{0x5a, 0x7f, 0xff, 0xff, 0xff, 1}));
  EXPECT_FALSE(DecodeCbor(std::vector<std::uint8_t>{0x01, 0x01}));
  EXPECT_FALSE(DecodeCbor(std::vector<std::uint8_t>{}));
  const nlohmann::json value = {{"a", {1, 2, {{"b", "c"}}}}, {"d", nullptr}};
  const auto decoded = DecodeCbor(EncodeCbor(value));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, value);
}

}  // namespace
}  // namespace hawthorndrum
