/// Receives heads, fetches parts and puts generations into force.
#include "systems/config_system.h"

#include <algorithm>

#include "base/hash.h"
#include "ports/clock.h"
#include "systems/config_codec.h"
#include "systems/config_message_codec.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kWatchersPerDataCentre = 2;
constexpr std::size_t kMaxPartsPerRun = 256;
constexpr duration kWatchingUpdateInterval = milliseconds(500);
/**
 * After a start nothing is put into force within kStartGrace, nor within kStartWithoutStore while
 * the store has not answered.
 */
constexpr duration kStartGrace = seconds(1);
constexpr duration kStartWithoutStore = seconds(3);
/** For so long after a start, a complete generation waits while a newer one is known. */
constexpr duration kStartWaitForNewest = seconds(6);
/**
 * With more missing pages, only the first watcher of a data centre fetches from the store at once;
 * the others wait for kWaitForFirstWatcher.
 */
constexpr std::size_t kFewPages = 4;
constexpr duration kWaitForFirstWatcher = seconds(2);
constexpr duration kFetchStallTimeout = seconds(2);
constexpr double kServeBytesPerSecond = 4.0 * 1024 * 1024;
constexpr double kServeBurstBytes = 8.0 * 1024 * 1024;
constexpr std::string_view kWatcherKey = "config/watch";

}  // namespace

config_system::config_system(object_store& store, peer_port& peers, const clock& time,
                             random_source& random, metrics_registry& metrics, std::string address,
                             std::string data_centre)
    : peers_(peers),
      clock_(time),
      data_centre_(data_centre),
      address_(address),
      lower_from_store_(
          metrics.Counter("hawthorndrum_config_lower_refused_total", "from=\"store\"")),
      lower_from_peer_(metrics.Counter("hawthorndrum_config_lower_refused_total", "from=\"peer\"")),
      conflicting_(metrics.Counter("hawthorndrum_config_conflicting_head_total")),
      malformed_(metrics.Counter("hawthorndrum_config_malformed_total")),
      applied_(metrics.Counter("hawthorndrum_config_applied_total")),
      current_gauge_(metrics.Counter("hawthorndrum_config_generation")),
      served_parts_(metrics.Counter("hawthorndrum_config_parts_served_total")),
      parts_not_served_(metrics.Counter("hawthorndrum_config_parts_not_served_busy_total")),
      watch_(store, random, metrics, *this),
      fetch_(store, peers, random, metrics, *this),
      gossip_(peers, random, std::move(address), std::move(data_centre)),
      serve_budget_(kServeBurstBytes) {}

std::shared_ptr<const service_config> config_system::Find(std::string_view service) const {
  return tree_.Find(service);
}

void config_system::Run(time_point now) {
  now_ = now;
  if (!started_) {
    started_ = true;
    start_ = now;
    serve_refilled_ = now;
    gossip_.SetCurrent(generation(), content_digest());
  }
  UpdateWatching();
  watch_.Run(now);
  gossip_.Run(now);
  FetchMissing();
  AbandonStalledFetch();
}

void config_system::UpdateWatching() {
  if (now_ < next_watching_update_) return;
  next_watching_update_ = now_ + kWatchingUpdateInterval;
  watcher_rank_ = WatcherRank();
  watch_.SetWatching(watcher_rank_ < kWatchersPerDataCentre);
}

std::size_t config_system::WatcherRank() const {
  const std::uint64_t key = Hash64(kWatcherKey);
  const std::uint64_t own = RendezvousScore(key, peers_.self().value());
  std::size_t above = 0;
  for (const live_peer& peer : peers_.Peers()) {
    if (!peer.same_data_centre) continue;
    if (RendezvousScore(key, peer.id.value()) > own) above += 1;
  }
  return above;
}

bool config_system::IsNewer(generation number, const content_digest& head, counter& lower_refused) {
  if (!number) return false;
  newest_known_ = std::max(newest_known_, number);
  if (number < current()) {
    lower_refused.Add();
    return false;
  }
  if (number == current()) {
    if (head != tree_.head_digest) conflicting_.Add();
    return false;
  }
  return true;
}

void config_system::OnStoreHead(const std::string& bytes) {
  store_answered_ = true;
  const expected<config_head> head = DecodeHead(bytes);
  if (!head) {
    malformed_.Add();
    return;
  }
  if (!IsNewer(head->number, content_digest::Of(bytes), lower_from_store_)) return;
  // A running fetch is not interrupted; the newer generation follows it.
  if (head->number < target_) return;
  const bool same = content_digest::Of(bytes) == target_head_;
  if (assembler_.started() && head->number == target_ && same) return;
  const bool fetching = assembler_.started() && current() && target_ < head->number;
  if (fetching) return;
  StartFetchFromHead(bytes);
}

void config_system::OnStoreHeadMissing() {
  store_answered_ = true;
  if (current()) lower_from_store_.Add();
}

void config_system::OnPeerMessage(peer_id from, const peer_message& message) {
  switch (message.topic) {
    case peer_topic::kConfigHead:
      if (const auto read = DecodeAnnouncement(message)) return OnAnnouncement(from, *read);
      break;
    case peer_topic::kConfigRequest:
      if (const auto read = DecodeRequest(message)) return OnRequest(from, *read);
      break;
    case peer_topic::kConfigPart:
      if (const auto read = DecodePart(message)) return OnPeerPart(from, *read);
      break;
    case peer_topic::kStatus:
      if (const auto read = DecodeStatus(message)) return gossip_.OnStatus(from, *read);
      break;
    default:
      break;
  }
  malformed_.Add();
}

void config_system::OnAnnouncement(peer_id from, const config_announcement& announcement) {
  gossip_.OnAnnouncement(from, announcement);
  if (!IsNewer(announcement.number, announcement.head, lower_from_peer_)) return;
  if (target_ && !(announcement.number < target_)) fetch_.AddHolder(from);
  const bool newer_at_start = !current() && target_ < announcement.number;
  if (target_ && !newer_at_start) return;
  StartFetch(announcement.number, announcement.head);
  fetch_.AddHolder(from);
  FetchMissing();
}

void config_system::StartFetch(generation number, const content_digest& head) {
  assembler_.Drop();
  target_ = number;
  target_head_ = head;
  target_since_ = now_;
  fetch_.Restart(false, now_);
  AddHolders();
}

void config_system::FetchNewestAnnounced() {
  const config_announcement* newest = gossip_.NewestAnnouncement();
  if (newest == nullptr || !(current() < newest->number)) return;
  StartFetch(newest->number, newest->head);
}

void config_system::StartFetchFromHead(const std::string& head_bytes) {
  const expected<config_head> head = assembler_.Begin(head_bytes, tree_);
  if (!head) {
    malformed_.Add();
    return;
  }
  target_ = head->number;
  target_head_ = content_digest::Of(head_bytes);
  target_since_ = now_;
  const bool few = assembler_.missing_count() <= kFewPages;
  const bool may_ask_store = few || watcher_rank_ == 0;
  fetch_.Restart(few && watch_.watching(), may_ask_store ? now_ : now_ + kWaitForFirstWatcher);
  AddHolders();
  FetchMissing();
}

void config_system::AddHolders() {
  for (const live_peer& peer : peers_.Peers()) {
    const config_announcement* last = gossip_.LastAnnouncement(peer.id);
    if (peer.linked && last != nullptr && !(last->number < target_)) fetch_.AddHolder(peer.id);
  }
}

bool config_system::OnPart(const content_digest& digest, const std::string& bytes) {
  target_since_ = now_;
  if (!assembler_.started()) {
    if (digest != target_head_ || content_digest::Of(bytes) != digest) return false;
    const expected<config_head> head = assembler_.Begin(bytes, tree_);
    if (!head || head->number != target_) {
      malformed_.Add();
      assembler_.Drop();
      return false;
    }
    return true;
  }
  return assembler_.AddPart(digest, bytes, tree_);
}

void config_system::OnPeerPart(peer_id from, const config_part_message& part) {
  fetch_.OnPeerPart(from, part.digest, part.found, part.bytes);
  FetchMissing();
}

void config_system::FetchMissing() {
  if (!target_) return;
  if (assembler_.complete()) {
    if (MayPutIntoForce()) PutIntoForce();
    return;
  }
  if (!assembler_.started()) return fetch_.Run(now_, {target_head_});
  fetch_.Run(now_, assembler_.MissingParts(kMaxPartsPerRun));
}

void config_system::AbandonStalledFetch() {
  if (!target_ || assembler_.complete() || now_ - target_since_ < kFetchStallTimeout) return;
  const content_digest abandoned = target_head_;
  target_ = generation();
  assembler_.Drop();
  fetch_.Restart(false, now_);
  watch_.ReadSoon();
  const config_announcement* newest = gossip_.NewestAnnouncement();
  if (newest != nullptr && newest->head != abandoned) FetchNewestAnnounced();
}

bool config_system::MayPutIntoForce() const {
  if (current()) return true;
  const duration waited = now_ - start_;
  if (waited < kStartGrace) return false;
  if (!store_answered_ && waited < kStartWithoutStore) return false;
  return !(assembler_.number() < newest_known_) || waited >= kStartWaitForNewest;
}

void config_system::PutIntoForce() {
  assembler_.ApplyTo(tree_);
  target_ = generation();
  in_force_since_ = now_;
  applied_.Add();
  current_gauge_.Set(current().value());
  gossip_.SetCurrent(current(), tree_.head_digest);
  if (current() < newest_known_ && watch_.watching()) watch_.ReadSoon();
  FetchNewestAnnounced();
}

void config_system::OnRequest(peer_id from, const config_request& request) {
  const double gained = ToSeconds(now_ - serve_refilled_) * kServeBytesPerSecond;
  serve_budget_ = std::min(kServeBurstBytes, serve_budget_ + gained);
  serve_refilled_ = now_;
  for (const content_digest& digest : request.parts) {
    const std::string* bytes = tree_.FindPart(digest);
    const bool affordable = serve_budget_ > 0;
    config_part_message answer;
    answer.digest = digest;
    answer.found = bytes != nullptr && affordable;
    if (bytes != nullptr && !affordable) parts_not_served_.Add();
    if (answer.found) {
      answer.bytes = *bytes;
      serve_budget_ -= static_cast<double>(bytes->size());
      served_parts_.Add();
    }
    peers_.Send(from, EncodeMessage(answer));
  }
}

generation config_system::LowestKnown() const {
  generation lowest = gossip_.OwnStatus().lowest;
  for (const auto& [data_centre, remote] : gossip_.remote()) {
    lowest = std::min(lowest, remote.status.lowest);
  }
  return lowest;
}

}  // namespace hawthorndrum
