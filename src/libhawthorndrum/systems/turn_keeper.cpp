/// Grants the lock to run a suspect, one at a time in the data centre.
#include "systems/turn_keeper.h"

namespace hawthorndrum {

void turn_keeper::SetActive(bool active, bool has_no_peers, time_point now) {
  if (active == active_) return;
  active_ = active;
  held_.reset();
  pending_.clear();
  first_grant_ = has_no_peers ? now : now + kGrantExpiry;
}

void turn_keeper::RequestLock(peer_id from, std::uint64_t fingerprint, time_point now) {
  if (!active_) return;
  if (held_ && held_->holder == from && held_->fingerprint == fingerprint) {
    renewed_ = now;
    return;
  }
  pending_request& known = pending_[from];
  if (known.fingerprint != fingerprint) known = {fingerprint, now, now};
  known.last = now;
}

void turn_keeper::ReleaseLock(peer_id from, std::uint64_t fingerprint) {
  const auto found = pending_.find(from);
  if (found != pending_.end() && found->second.fingerprint == fingerprint) pending_.erase(found);
  if (held_ && held_->holder == from && held_->fingerprint == fingerprint) held_.reset();
}

std::optional<turn_grant> turn_keeper::Grant(time_point now) {
  if (!active_ || now < first_grant_) return std::nullopt;
  if (held_ && now - renewed_ <= kGrantExpiry) return held_;
  held_.reset();
  auto best = pending_.end();
  for (auto one = pending_.begin(); one != pending_.end();) {
    if (now - one->second.last > kRequestExpiry) {
      one = pending_.erase(one);
      continue;
    }
    if (best == pending_.end() || one->second.first > best->second.first ||
        (one->second.first == best->second.first && one->first < best->first)) {
      best = one;
    }
    ++one;
  }
  if (best == pending_.end()) return std::nullopt;
  held_ = turn_grant{best->first, best->second.fingerprint};
  renewed_ = now;
  pending_.erase(best);
  return held_;
}

}  // namespace hawthorndrum
