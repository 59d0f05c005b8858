/// Gives out the turn to run a suspect, one at a time in the data centre.
#include "systems/turn_keeper.h"

namespace hawthorndrum {

void turn_keeper::SetKeeping(bool keeping, bool alone, time_point now) {
  if (keeping == keeping_) return;
  keeping_ = keeping;
  held_.reset();
  asks_.clear();
  grants_from_ = alone ? now : now + kLapse;
}

void turn_keeper::Ask(peer_id from, std::uint64_t fingerprint, time_point now) {
  if (!keeping_) return;
  if (held_ && held_->holder == from && held_->fingerprint == fingerprint) {
    renewed_ = now;
    return;
  }
  ask& known = asks_[from];
  if (known.fingerprint != fingerprint) known = {fingerprint, now, now};
  known.last = now;
}

void turn_keeper::Done(peer_id from, std::uint64_t fingerprint) {
  const auto found = asks_.find(from);
  if (found != asks_.end() && found->second.fingerprint == fingerprint) asks_.erase(found);
  if (held_ && held_->holder == from && held_->fingerprint == fingerprint) held_.reset();
}

std::optional<turn_grant> turn_keeper::Grant(time_point now) {
  if (!keeping_ || now < grants_from_) return std::nullopt;
  if (held_ && now - renewed_ <= kLapse) return held_;
  held_.reset();
  auto best = asks_.end();
  for (auto one = asks_.begin(); one != asks_.end();) {
    if (now - one->second.last > kAskLives) {
      one = asks_.erase(one);
      continue;
    }
    if (best == asks_.end() || one->second.first > best->second.first ||
        (one->second.first == best->second.first && one->first < best->first)) {
      best = one;
    }
    ++one;
  }
  if (best == asks_.end()) return std::nullopt;
  held_ = turn_grant{best->first, best->second.fingerprint};
  renewed_ = now;
  asks_.erase(best);
  return held_;
}

}  // namespace hawthorndrum
