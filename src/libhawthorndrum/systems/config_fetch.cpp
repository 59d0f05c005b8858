/// Selects sources for parts and tracks open requests.
#include "systems/config_fetch.h"

#include <algorithm>

#include "ports/random_source.h"
#include "systems/config_codec.h"
#include "systems/config_message_codec.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kMaxConcurrentPeers = 4;
constexpr std::size_t kMaxConcurrentStoreCalls = 16;
constexpr duration kPeerTimeout = seconds(1);
constexpr duration kStoreTimeout = seconds(2);
constexpr duration kStoreRetryDelay = seconds(1);

}  // namespace

config_fetch::config_fetch(object_store& store, peer_port& peers, random_source& random,
                           metrics_registry& metrics, part_listener& listener)
    : store_(store),
      peers_(peers),
      random_(random),
      listener_(listener),
      from_store_(metrics.Counter("hawthorndrum_config_parts_total", "from=\"store\"")),
      from_peers_(metrics.Counter("hawthorndrum_config_parts_total", "from=\"peer\"")),
      bytes_(metrics.Counter("hawthorndrum_config_part_bytes_total")),
      damaged_(metrics.Counter("hawthorndrum_config_parts_damaged_total")) {}

void config_fetch::Restart(bool prefer_store, time_point store_from) {
  prefer_store_ = prefer_store;
  store_failed_ = false;
  store_retry_ = store_from;
  holders_.clear();
  open_.clear();
  store_calls_.clear();
}

void config_fetch::AddHolder(peer_id peer) {
  if (std::find(holders_.begin(), holders_.end(), peer) == holders_.end()) {
    holders_.push_back(peer);
  }
}

void config_fetch::RemoveHolder(peer_id peer) {
  holders_.erase(std::remove(holders_.begin(), holders_.end(), peer), holders_.end());
}

bool config_fetch::HasOpenRequest(peer_id peer) const {
  return std::any_of(open_.begin(), open_.end(),
                     [peer](const auto& one) { return one.second.peer == peer; });
}

bool config_fetch::ShouldUseStore() const {
  if (holders_.empty()) return true;
  return prefer_store_ && !store_failed_;
}

void config_fetch::Run(time_point now, const std::vector<content_digest>& wanted) {
  now_ = now;
  Expire();
  if (wanted.empty()) return;
  if (ShouldUseStore()) {
    RequestFromStore(wanted);
  } else {
    RequestFromPeers(wanted);
  }
}

void config_fetch::Expire() {
  for (auto one = open_.begin(); one != open_.end();) {
    if (now_ < one->second.deadline) {
      ++one;
      continue;
    }
    if (one->second.peer) RemoveHolder(one->second.peer);
    one = open_.erase(one);
  }
}

std::vector<content_digest> config_fetch::NotRequested(const std::vector<content_digest>& wanted,
                                                       std::size_t limit) const {
  std::vector<content_digest> digests;
  for (const content_digest& digest : wanted) {
    if (digests.size() >= limit) break;
    if (open_.count(digest) == 0) digests.push_back(digest);
  }
  return digests;
}

void config_fetch::RequestFromPeers(const std::vector<content_digest>& wanted) {
  const std::size_t first = random_.Below(holders_.size());
  std::size_t requested = 0;
  for (std::size_t i = 0; i < holders_.size() && requested < kMaxConcurrentPeers; ++i) {
    const peer_id peer = holders_[(first + i) % holders_.size()];
    requested += 1;
    if (HasOpenRequest(peer)) continue;
    config_request request{NotRequested(wanted, kMaxPartsPerRequest)};
    if (request.parts.empty()) return;
    for (const content_digest& digest : request.parts) {
      open_[digest] = {peer, now_ + kPeerTimeout};
    }
    peers_.Send(peer, EncodeMessage(request));
  }
}

void config_fetch::RequestFromStore(const std::vector<content_digest>& wanted) {
  if (now_ < store_retry_) return;
  const std::size_t open = store_calls_.size();
  const std::size_t free = kMaxConcurrentStoreCalls > open ? kMaxConcurrentStoreCalls - open : 0;
  for (const content_digest& digest : NotRequested(wanted, free)) {
    store_call call;
    call.key = PartKey(digest);
    call.timeout = kStoreTimeout;
    open_[digest] = {peer_id(), now_ + 2 * kStoreTimeout};
    store_calls_[store_.Submit(std::move(call), *this)] = digest;
  }
}

void config_fetch::OnStoreAnswer(store_call_id id, const store_answer& answer) {
  const auto found = store_calls_.find(id);
  if (found == store_calls_.end()) return;
  const content_digest digest = found->second;
  store_calls_.erase(found);
  open_.erase(digest);
  if (answer.outcome == store_outcome::kMissing) return DelayStoreRetry(digest);
  if (answer.outcome != store_outcome::kDone) {
    store_failed_ = true;
    store_retry_ = now_ + kStoreRetryDelay;
    return;
  }
  from_store_.Add();
  bytes_.Add(answer.value.size());
  if (listener_.OnPart(digest, answer.value)) return;
  damaged_.Add();
  DelayStoreRetry(digest);
}

void config_fetch::DelayStoreRetry(const content_digest& digest) {
  store_failed_ = true;
  open_[digest] = {peer_id(), now_ + kStoreRetryDelay};
}

void config_fetch::OnPeerPart(peer_id from, const content_digest& digest, bool found,
                              const std::string& bytes) {
  const auto requested = open_.find(digest);
  if (requested == open_.end() || requested->second.peer != from) return;
  open_.erase(requested);
  if (!found) return RemoveHolder(from);
  from_peers_.Add();
  bytes_.Add(bytes.size());
  if (listener_.OnPart(digest, bytes)) return;
  damaged_.Add();
  RemoveHolder(from);
}

}  // namespace hawthorndrum
