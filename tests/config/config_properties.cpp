/// Properties of config_assembler, of fleets under random faults, and of malformed peer messages.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "config_fleet.h"
#include "publish_driver.h"
#include "stored_configuration.h"
#include "systems/config_assembler.h"
#include "systems/config_message_codec.h"

namespace hawthorndrum {
namespace {

constexpr int kStepsIn8Seconds = 80;

/** Draws from [0, bound). Not a RapidCheck range, because those grow with the test size. */
int Below(fake_random_source& random, int bound) {
  return static_cast<int>(random.Below(static_cast<std::uint64_t>(bound)));
}

std::vector<service_config> RandomServices(fake_random_source& random) {
  std::vector<service_config> services;
  const int count = Below(random, 60);
  for (int i = 0; i < count; ++i) {
    const int number = Below(random, 200);
    const std::string name = "s" + std::to_string(number);
    const bool known = std::any_of(services.begin(), services.end(),
                                   [&](const service_config& one) { return one.name == name; });
    if (!known) services.push_back(MakeService(name, Below(random, 10)));
  }
  return services;
}

publish_request RandomRequest(std::uint64_t id, fake_random_source& random) {
  publish_request request = MakeRequest(id, "ann", RandomServices(random));
  const int removals = Below(random, 4);
  for (int i = 0; i < removals; ++i) {
    const std::string name = "s" + std::to_string(Below(random, 200));
    const bool named =
        std::any_of(request.changes.begin(), request.changes.end(),
                    [&](const service_change& change) { return change.name == name; });
    if (!named) request.changes.push_back({name, std::nullopt});
  }
  return request;
}

void CheckTree(const config_tree& tree, const fake_object_store& store) {
  const config_head head = StoredHead(store, tree.head.number);
  const service_map wanted = StoredServices(store, head);
  RC_ASSERT(tree.CountServices() == wanted.size());
  for (const auto& [name, entry] : wanted) {
    const auto held = tree.Find(name);
    RC_ASSERT(held != nullptr);
    RC_ASSERT(SameService(*held, entry.config));
  }
}

/** A part's digest, and the part's bytes from the store, possibly damaged or replaced. */
struct offered_part {
  content_digest digest;
  std::string bytes;
};

offered_part RandomPart(const fake_object_store& store, const std::vector<content_digest>& wanted,
                        fake_random_source& random) {
  offered_part part;
  part.digest = wanted[random.Below(wanted.size())];
  part.bytes = StoredValue(store, PartKey(part.digest));
  const int kind = Below(random, 8);
  if (kind == 0) part.bytes[random.Below(part.bytes.size())] ^= 1;
  if (kind == 1) part.bytes.resize(part.bytes.size() / 2);
  if (kind == 2) part.bytes = "[]";
  return part;
}

RC_GTEST_PROP(ConfigParts, AnyOrderAndDamageGivesTheWholeOrNothing, (std::uint64_t seed)) {
  fake_random_source random(seed);
  fake_object_store store;
  config_tree tree;
  config_assembler assembler;
  const int rounds = 1 + Below(random, 3);
  for (int round = 0; round < rounds; ++round) {
    PublishNow(store, RandomRequest(static_cast<std::uint64_t>(round) + 1, random));
    const std::string head = StoredValue(store, std::string(kConfigHeadKey));
    if (head.empty()) continue;
    RC_ASSERT(bool(assembler.Begin(head, tree)));
    while (!assembler.complete()) {
      const std::vector<content_digest> wanted = assembler.MissingParts(10'000);
      RC_ASSERT(!wanted.empty());
      const offered_part part = RandomPart(store, wanted, random);
      const bool intact = content_digest::Of(part.bytes) == part.digest;
      RC_ASSERT(assembler.AddPart(part.digest, part.bytes, tree) == intact);
    }
    assembler.ApplyTo(tree);
    CheckTree(tree, store);
  }
}

TEST(ConfigParts, RefusesALeafInTheWrongPlace) {
  fake_object_store store;
  PublishNow(store, MakeRequest(1, "ann", {MakeService("a")}));
  const std::string leaf =
      EncodeLeaf({config_entry{MakeService("a"), false, generation(1), "x", 1}});
  const content_digest digest = content_digest::Of(leaf);
  // A page that lists a valid leaf at the wrong position; only a faulty publisher writes one.
  config_page page(kLeavesPerPage);
  page[(LeafOf("a") + 1) % kLeavesPerPage] = digest;
  const std::string page_bytes = EncodePage(page);
  config_head head;
  head.number = generation(1);
  head.pages[LeafOf("a") / kLeavesPerPage] = content_digest::Of(page_bytes);
  config_tree tree;
  config_assembler assembler;
  ASSERT_TRUE(assembler.Begin(EncodeHead(head), tree));
  EXPECT_TRUE(assembler.AddPart(content_digest::Of(page_bytes), page_bytes, tree));
  EXPECT_FALSE(assembler.AddPart(digest, leaf, tree));
  EXPECT_FALSE(assembler.complete());
}

/** A fleet under random faults while generations are published. */
class random_fleet {
 public:
  explicit random_fleet(std::uint64_t seed)
      : fleet_(store_, 2, 3), last_seen_(6, 0), random_(seed) {
    PublishNow(store_, MakeRequest(kFirstId, "ann", {MakeService("a", 1)}));
    head_ = StoredValue(store_, std::string(kConfigHeadKey));
    fleet_.message_fault = [this](const sent_message&) { return MessageFault(); };
    fleet_.store_fault = [this](const fake_object_store::waiting_call&) { return StoreFault(); };
  }

  void Run() {
    const int events = 1 + Below(random_, 24);
    for (int i = 0; i < events; ++i) {
      InjectEvent(Below(random_, 8));
      const int steps = 1 + Below(random_, 19);
      for (int step = 0; step < steps; ++step) {
        fleet_.Step();
        CheckNoGenerationFell();
      }
    }
  }

  void HealAndCheck() {
    fault_percent_ = 0;
    PutHead(head_);
    fleet_.SetStoreReachable(true);
    for (int i = 0; i < fleet_.size(); ++i) fleet_.member(i).group = 0;
    const int steps = fleet_.StepsUntil(StoredHead(store_).number, kStepsIn8Seconds);
    for (int i = 0; steps < 0 && i < fleet_.size(); ++i) {
      RC_LOG() << fleet_.config(i).Report("")->dump() << "\n";
    }
    RC_ASSERT(steps >= 0);
    for (int i = 0; i < fleet_.size(); ++i) CheckTree(fleet_.config(i).tree(), store_);
  }

 private:
  static constexpr std::uint64_t kFirstId = 10;

  void InjectEvent(int kind) {
    const int number = Below(random_, fleet_.size());
    switch (kind) {
      case 0:
      case 1:
        PutHead(head_);
        PublishNow(store_, RandomRequest(++last_id_, random_));
        old_head_ = head_;
        head_ = StoredValue(store_, std::string(kConfigHeadKey));
        return;
      case 2:
        fleet_.Restart(number);
        last_seen_[static_cast<std::size_t>(number)] = 0;
        return;
      case 3:
        fleet_.member(number).store_reachable = Below(random_, 2) == 0;
        return;
      case 4:
        fleet_.member(number).group = Below(random_, 2);
        return;
      case 5:
        fault_percent_ = Below(random_, 60);
        return;
      case 6:
        if (!old_head_.empty()) PutHead(old_head_);
        return;
      default:
        fleet_.watches_miss = Below(random_, 2) == 0;
        return;
    }
  }

  injected_fault MessageFault() {
    if (Below(random_, 100) >= fault_percent_) return injected_fault::kNone;
    constexpr std::array<injected_fault, 3> kKinds = {
        injected_fault::kDrop, injected_fault::kDamage, injected_fault::kDuplicate};
    return kKinds[random_.Below(kKinds.size())];
  }

  injected_fault StoreFault() {
    if (Below(random_, 100) >= fault_percent_) return injected_fault::kNone;
    constexpr std::array<injected_fault, 3> kKinds = {
        injected_fault::kDrop, injected_fault::kDamage, injected_fault::kRefuse};
    return kKinds[random_.Below(kKinds.size())];
  }

  void PutHead(const std::string& bytes) {
    store_call call;
    call.operation = store_operation::kUpdate;
    call.key = std::string(kConfigHeadKey);
    if (StoredValue(store_, call.key) == bytes) return;
    call.expected = store_.objects().at(call.key).version;
    call.value = bytes;
    store_.Apply(call);
  }

  void CheckNoGenerationFell() {
    for (int i = 0; i < fleet_.size(); ++i) {
      const std::uint64_t now = fleet_.config(i).current().value();
      std::uint64_t& last_seen = last_seen_[static_cast<std::size_t>(i)];
      RC_ASSERT(now >= last_seen);
      last_seen = now;
    }
  }

  fake_object_store store_;
  config_fleet fleet_;
  std::vector<std::uint64_t> last_seen_;
  std::string head_;
  std::string old_head_;
  std::uint64_t last_id_ = kFirstId;
  int fault_percent_ = 0;
  fake_random_source random_;
};

RC_GTEST_PROP(ConfigFleet, NeverFallsAndAgreesAfterTheFaults, (std::uint64_t seed)) {
  random_fleet fleet(seed);
  fleet.Run();
  fleet.HealAndCheck();
}

peer_topic RandomTopic() {
  return *rc::gen::element(peer_topic::kConfigHead, peer_topic::kConfigRequest,
                           peer_topic::kConfigPart, peer_topic::kStatus, peer_topic::kHello);
}

RC_GTEST_PROP(ConfigMessages, MalformedMessagesAreCountedAndChangeNothing,
              (const std::vector<std::uint8_t>& bytes)) {
  fake_object_store store;
  PublishNow(store, MakeRequest(1, "ann", {MakeService("a")}));
  config_fleet fleet(store, 1, 1);
  RC_ASSERT(fleet.StepsUntil(generation(1), kStepsIn8Seconds) >= 0);
  fleet.config(0).OnPeerMessage(peer_id(5), {RandomTopic(), bytes});
  fleet.Steps(2);
  RC_ASSERT(fleet.config(0).current() == generation(1));
  RC_ASSERT(fleet.member(0).metrics.Counter("hawthorndrum_config_malformed_total").value() == 1);
}

RC_GTEST_PROP(ConfigMessages, DamagedMessagesNeverBreakAnything, (std::uint64_t seed)) {
  fake_random_source random(seed);
  std::vector<peer_message> messages = {
      EncodeMessage(config_announcement{generation(9), content_digest::Of("x"), "a:1", "dc"}),
      EncodeMessage(config_request{{content_digest::Of("x"), content_digest::Of("y")}}),
      EncodeMessage(config_part_message{content_digest::Of("x"), true, "bytes"}),
      EncodeMessage(config_status{"dc", 3, generation(2), {{"a:1", generation(1)}}, false})};
  peer_message message = messages[random.Below(messages.size())];
  const int changes = 1 + Below(random, 3);
  for (int i = 0; i < changes; ++i) {
    const std::uint64_t position = random.Below(message.body.size());
    message.body[position] = static_cast<std::uint8_t>(random.Draw());
  }
  fake_object_store store;
  PublishNow(store, MakeRequest(1, "ann", {MakeService("a")}));
  config_fleet fleet(store, 1, 2);
  fleet.Steps(20);
  fleet.Send({1, 0, message});
  fleet.Steps(60);
  RC_ASSERT(fleet.AllHave(generation(1)));
}

TEST(ConfigMessages, DeepNestingIsRefused) {
  constexpr std::size_t kDeep = 1'000'000;
  constexpr std::uint8_t kArrayOfOne = 0x81;
  const std::vector<std::uint8_t> nested(kDeep, kArrayOfOne);
  EXPECT_FALSE(DecodeAnnouncement({peer_topic::kConfigHead, nested}));
  EXPECT_FALSE(DecodeRequest({peer_topic::kConfigRequest, nested}));
  EXPECT_FALSE(DecodePart({peer_topic::kConfigPart, nested}));
  EXPECT_FALSE(DecodeStatus({peer_topic::kStatus, nested}));
}

TEST(ConfigMessages, SurviveEncodingAndDecoding) {
  const config_announcement announcement{generation(9), content_digest::Of("x"), "a:1", "dc"};
  const auto read = DecodeAnnouncement(EncodeMessage(announcement));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->number, announcement.number);
  EXPECT_EQ(read->head, announcement.head);
  EXPECT_EQ(read->address, "a:1");
  EXPECT_EQ(read->data_centre, "dc");
  const config_status status{"dc", 3, generation(2), {{"a:1", generation(1)}}, true};
  const auto read_status = DecodeStatus(EncodeMessage(status));
  ASSERT_TRUE(read_status);
  EXPECT_TRUE(*read_status == status);
  EXPECT_TRUE(read_status->forwarded);
  const auto part =
      DecodePart(EncodeMessage(config_part_message{content_digest::Of("x"), true, "b"}));
  ASSERT_TRUE(part);
  EXPECT_EQ(part->bytes, "b");
  const auto request = DecodeRequest(EncodeMessage(config_request{{content_digest::Of("x")}}));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->parts.size(), 1U);
  EXPECT_FALSE(DecodeRequest(EncodeMessage(status)));
}

}  // namespace
}  // namespace hawthorndrum
