/// Grants the lock to run a suspect, one at a time in the data centre.
#include "systems/suspect_lock_coordinator.h"

namespace hawthorndrum {

void suspect_lock_coordinator::SetActive(bool active, bool has_no_peers, time_point now) {
  if (active == active_) return;
  active_ = active;
  held_.reset();
  pending_.clear();
  first_grant_ = has_no_peers ? now : now + kGrantExpiry;
}

void suspect_lock_coordinator::RequestLock(peer_id from, std::uint64_t fingerprint,
                                           time_point now) {
  if (!active_) return;
  if (held_ && held_->holder == from && held_->fingerprint == fingerprint) {
    renewed_ = now;
    return;
  }
  pending_request& known = pending_[from];
  if (known.fingerprint != fingerprint) known = {fingerprint, now, now};
  known.last = now;
}

void suspect_lock_coordinator::ReleaseLock(peer_id from, std::uint64_t fingerprint) {
  const auto found = pending_.find(from);
  if (found != pending_.end() && found->second.fingerprint == fingerprint) pending_.erase(found);
  if (held_ && held_->holder == from && held_->fingerprint == fingerprint) held_.reset();
}

std::optional<suspect_lock_grant> suspect_lock_coordinator::Grant(time_point now) {
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
  held_ = suspect_lock_grant{best->first, best->second.fingerprint};
  renewed_ = now;
  pending_.erase(best);
  return held_;
}

}  // namespace hawthorndrum
