/// Sends, acknowledges and keeps counts.
#include "usage/usage_exchange.h"

#include <algorithm>

#include "base/hash.h"
#include "gateway/daemon_directory.h"
#include "usage/usage_message.h"
#include "usage/usage_sender.h"

namespace hawthorndrum {

namespace {

/** Ended windows that are sent again in one push. */
constexpr int kWindowsOfPush = 4;
/** A daemon that was silent for this many windows is not waited for. */
constexpr int kSilentWindows = 2;
/** The time in which a new reporting daemon makes itself known to all. */
constexpr duration kFirstAnnouncements = seconds(1);
constexpr std::size_t kMaxPeers = 4096;

}  // namespace

usage_exchange::usage_exchange(const daemon_directory& daemons, usage_sender& sender,
                               incarnation_id self, duration window)
    : daemons_(daemons), sender_(sender), self_(self), window_length_(window) {}

void usage_exchange::Begin(std::uint64_t wall_ms, time_point now) {
  time_.NoteOwn(wall_ms, now);
  began_ = open_ = WindowAt(now);
}

std::uint64_t usage_exchange::WindowAt(time_point now) const {
  return time_.At(now) / static_cast<std::uint64_t>(ToMilliseconds(window_length_));
}

duration usage_exchange::SinceEnd(std::uint64_t window, time_point now) const {
  const std::uint64_t end =
      (window + 1) * static_cast<std::uint64_t>(ToMilliseconds(window_length_));
  return milliseconds(static_cast<std::int64_t>(time_.At(now)) - static_cast<std::int64_t>(end));
}

std::uint64_t usage_exchange::oldest() const {
  const auto& windows = tally_.windows();
  return windows.empty() ? began_ : std::min(began_, windows.begin()->first);
}

void usage_exchange::OnRequestBegan(std::string_view team, time_point now) {
  if (team.empty()) return;
  const std::uint64_t window = std::max({WindowAt(now), open_, next_});
  tally_.Add(self_, window, team);
  changed_[window].emplace(team);
}

bool usage_exchange::OnMessage(boost::span<const std::uint8_t> bytes, const std::string& from,
                               time_point now) {
  if (const auto counts = DecodeUsageCounts(bytes)) return OnCounts(*counts, from, now), true;
  if (const auto heard = DecodeUsageHeard(bytes)) return OnHeard(*heard, from, now), true;
  return false;
}

void usage_exchange::OnCounts(const usage_counts_message& message, const std::string& from,
                              time_point now) {
  const std::uint64_t open = WindowAt(now);
  // The store may have lost which reports an earlier reporting daemon had fixed.
  if (holding_ && message.next <= open + 1) SetNext(message.next);
  // One whose clock differs by more is followed only once the clocks agree.
  const bool kept = message.window >= next_ && message.window + kMaxWindows > open &&
                    message.window <= open + 1 && message.counter != self_;
  if (kept) tally_.Merge(message);
  if (message.forwarded) return;
  if (peers_.size() >= kMaxPeers && peers_.count(from) == 0) return;
  peer_row& row = peers_[from];
  row.active_at = now;
  row.began = message.began;
  time_.NotePeer(from, message.clock_ms, now);
  if (!holding_ || !message.closed) return;
  const counted_window* counted = tally_.Find(message.counter, message.window);
  const std::uint64_t total = counted == nullptr ? 0 : counted->total;
  if (kept && total == message.total) row.complete.insert(message.window);
  SendHeard(from, message.window, total, now);
}

void usage_exchange::OnHeard(const usage_heard_message& message, const std::string& from,
                             time_point now) {
  if (message.term < holder_term_) return;
  if (holding_ && !(*holding_ < message.term)) return;
  if (holder_term_ < message.term) {
    holder_term_ = message.term;
    holder_address_ = from;
    acknowledged_.clear();
    forwards_ = true;
  }
  if (from != holder_address_) return;
  holder_heard_at_ = now;
  if (message.clock_ms != 0) Follow(message.clock_ms, now);
  if (message.next < next_) PushWindow(open_, false, false, holder_address_, now);
  SetNext(message.next);
  const counted_window* own = tally_.Find(self_, message.window);
  const std::uint64_t total = own == nullptr ? 0 : own->total;
  if (message.window < open_ && message.total == total) acknowledged_.insert(message.window);
}

void usage_exchange::Follow(std::uint64_t clock_ms, time_point now) {
  time_.NoteAgreed(clock_ms, now);
  // This daemon's clock may have been ahead.
  open_ = std::min(open_, WindowAt(now));
  began_ = std::min(began_, open_);
}

bool usage_exchange::KnowsTime(time_point now) const {
  return time_.MedianAt(now, daemons_.others().size() / 2).has_value();
}

void usage_exchange::SetHolding(std::optional<lease_term> term, time_point now) {
  if (term && (!holding_ || *holding_ < *term)) {
    // Everybody is told at once, and sends what it has.
    announced_ = 0;
    announcements_due_ = 0;
    pushed_at_ = now;
    holder_heard_at_ = now;
    for (auto& [address, row] : peers_) row.complete.clear();
  }
  holding_ = term;
  if (term && holder_term_ < *term) {
    holder_term_ = *term;
    holder_address_.clear();
  }
}

void usage_exchange::SetNext(std::uint64_t next) {
  if (next <= next_) return;
  next_ = next;
  tally_.DropBefore(next_);
  changed_.erase(changed_.begin(), changed_.lower_bound(next_));
  acknowledged_.erase(acknowledged_.begin(), acknowledged_.lower_bound(next_));
  for (auto& [address, row] : peers_)
    row.complete.erase(row.complete.begin(), row.complete.lower_bound(next_));
}

usage_coverage usage_exchange::CoverageOf(std::uint64_t window) const {
  usage_coverage coverage;
  coverage.heard = 1;
  coverage.known = daemons_.others().size() + 1;
  coverage.began = began_ == window ? 1 : 0;
  for (const daemon_record& each : daemons_.others()) {
    const auto row = peers_.find(each.notices_address);
    if (row == peers_.end()) continue;
    if (row->second.complete.count(window) > 0) coverage.heard += 1;
    if (row->second.began == window) coverage.began += 1;
  }
  return coverage;
}

bool usage_exchange::AllActiveHeard(std::uint64_t window, time_point now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return now - peer.second.active_at > kSilentWindows * window_length_ ||
           peer.second.began > window || peer.second.complete.count(window) > 0;
  });
}

bool usage_exchange::HearsHolder(time_point now) const {
  return holding_ || now - holder_heard_at_ <= kSilentWindows * window_length_;
}

void usage_exchange::Run(time_point now) {
  const std::uint64_t open = WindowAt(now);
  if (open > open_) open_ = open;
  if (open_ > kMaxWindows) tally_.DropBefore(open_ - kMaxWindows);
  if (holding_) Announce(now);
  if (!hurries_ && now - pushed_at_ < kPushPeriod) return;
  pushed_at_ = now;
  if (forwards_) ForwardKept(now);
  Push(now);
}

void usage_exchange::Push(time_point now) {
  const std::string keeper = KeeperAddress();
  const bool has_holder = !holding_ && !holder_address_.empty() && HearsHolder(now);
  const std::uint64_t kept_from = open_ > kMaxWindows ? open_ - kMaxWindows : 0;
  int sent = 0;
  for (std::uint64_t window = std::max({next_, began_, kept_from});
       has_holder && window < open_ && sent < kWindowsOfPush; ++window) {
    if (acknowledged_.count(window) > 0) continue;
    PushWindow(window, true, true, holder_address_, now);
    ++sent;
  }
  if (has_holder && changed_.count(open_) > 0)
    PushWindow(open_, false, false, holder_address_, now);
  for (const auto& [window, teams] : changed_) {
    if (!keeper.empty() && keeper != holder_address_)
      PushWindow(window, window < open_, false, keeper, now);
  }
  changed_.clear();
}

void usage_exchange::PushWindow(std::uint64_t window, bool closed, bool whole,
                                const std::string& to, time_point now) {
  usage_counts_message message;
  message.counter = self_;
  message.clock_ms = time_.OwnAt(now);
  message.window = window;
  message.began = began_;
  message.closed = closed;
  message.next = next_;
  if (const counted_window* own = tally_.Find(self_, window)) {
    message.total = own->total;
    const auto changed = changed_.find(window);
    for (const auto& [team, count] : own->counts) {
      if (whole || (changed != changed_.end() && changed->second.count(team) > 0))
        message.counts[team] = count;
    }
  }
  SendCounts(message, to);
}

void usage_exchange::ForwardKept(time_point now) {
  forwards_ = false;
  if (holding_ || holder_address_.empty()) return;
  PushWindow(open_, false, true, holder_address_, now);
  for (const auto& [window, counters] : tally_.windows()) {
    for (const auto& [counter, counted] : counters) {
      if (counter == self_) continue;
      usage_counts_message message;
      message.counter = counter;
      message.clock_ms = time_.OwnAt(now);
      message.window = window;
      message.forwarded = true;
      message.total = counted.total;
      message.counts.insert(counted.counts.begin(), counted.counts.end());
      SendCounts(message, holder_address_);
    }
  }
}

void usage_exchange::SendCounts(const usage_counts_message& message, const std::string& to) {
  for (const auto& datagram : EncodeUsageCounts(message)) sender_.SendUsage(to, datagram);
}

void usage_exchange::SendHeard(const std::string& to, std::uint64_t window, std::uint64_t total,
                               time_point now) {
  usage_heard_message message;
  message.term = *holding_;
  message.clock_ms = time_.MedianAt(now, daemons_.others().size() / 2).value_or(0);
  if (message.clock_ms != 0) Follow(message.clock_ms, now);
  message.next = next_;
  message.window = window;
  message.total = total;
  sender_.SendUsage(to, EncodeUsageHeard(message));
}

void usage_exchange::Announce(time_point now) {
  const auto& others = daemons_.others();
  if (others.empty()) return;
  // One round takes a window; the first one is faster.
  const duration round = announced_ < others.size() ? kFirstAnnouncements : window_length_;
  announcements_due_ += ToSeconds(std::min<duration>(now - holder_heard_at_, kFirstAnnouncements)) *
                        static_cast<double>(others.size()) / ToSeconds(round);
  holder_heard_at_ = now;
  for (; announcements_due_ >= 1; announcements_due_ -= 1) {
    SendHeard(others[announced_ % others.size()].notices_address, 0, UINT64_MAX, now);
    ++announced_;
  }
}

std::string usage_exchange::KeeperAddress() const {
  std::string best;
  std::uint64_t best_score = 0;
  for (const daemon_record& each : daemons_.others()) {
    const std::uint64_t score =
        RendezvousScore(self_.value(), PeerIdOf(each.notices_address).value());
    if (each.notices_address == holder_address_ || score < best_score) continue;
    best_score = score;
    best = each.notices_address;
  }
  return best;
}

}  // namespace hawthorndrum
