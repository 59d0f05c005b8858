/// Takes medians of clocks' offsets.
#include "usage/shared_time.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace hawthorndrum {

namespace {

/** Bounds what is kept of daemons that come and go. */
constexpr std::size_t kMaxPeers = 4096;

std::int64_t OffsetOf(std::uint64_t wall_ms, time_point now) {
  return static_cast<std::int64_t>(wall_ms) - ToMilliseconds(now.time_since_epoch());
}

std::uint64_t WallOf(std::int64_t offset, time_point now) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, offset + ToMilliseconds(now.time_since_epoch())));
}

}  // namespace

void shared_time::NoteOwn(std::uint64_t wall_ms, time_point now) {
  if (!own_) own_ = OffsetOf(wall_ms, now);
}

void shared_time::NotePeer(const std::string& peer, std::uint64_t wall_ms, time_point now) {
  if (peers_.size() >= kMaxPeers && peers_.count(peer) == 0) peers_.clear();
  peers_[peer] = OffsetOf(wall_ms, now);
}

void shared_time::NoteAgreed(std::uint64_t wall_ms, time_point now) {
  const std::int64_t offset = OffsetOf(wall_ms, now);
  const std::int64_t present = agreed_.value_or(own_.value_or(0));
  if (std::abs(offset - present) <= kToleratedMs) return candidate_.reset();
  if (candidate_ && std::abs(offset - *candidate_) <= kToleratedMs) {
    agreed_ = offset;
    return candidate_.reset();
  }
  candidate_ = offset;
}

std::uint64_t shared_time::OwnAt(time_point now) const { return WallOf(own_.value_or(0), now); }

std::uint64_t shared_time::At(time_point now) const {
  return WallOf(agreed_.value_or(own_.value_or(0)), now);
}

std::optional<std::uint64_t> shared_time::MedianAt(time_point now, std::size_t peers) const {
  if (!own_ || peers_.size() < peers) return std::nullopt;
  std::vector<std::int64_t> offsets = {*own_};
  for (const auto& [peer, offset] : peers_) offsets.push_back(offset);
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return WallOf(*middle, now);
}

}  // namespace hawthorndrum
