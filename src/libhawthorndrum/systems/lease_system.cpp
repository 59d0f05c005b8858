/// Taking, renewing, releasing and losing the lease.
#include "systems/lease_system.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/random_source.h"
#include "systems/lease_notice.h"

namespace hawthorndrum {
namespace {

/** How many daemons of a data centre poll the store without an additional wait for their rank. */
constexpr std::size_t kCandidates = 3;
/** A notice whose term exceeds the highest known one by more than this counts as malformed. */
constexpr std::uint64_t kLargestTermIncrease = 1'000'000;

}  // namespace

lease_system::lease_system(object_store& store, peer_port& peers, const clock& clock,
                           random_source& random, metrics_registry& metrics,
                           std::string data_centre, incarnation_id self, lease_timing timing)
    : peers_(peers),
      clock_(clock),
      random_(random),
      data_centre_(std::move(data_centre)),
      self_(self),
      timing_(timing),
      record_(store, clock, random, metrics, "leases/" + data_centre_, *this),
      gained_(metrics.Counter("hawthorndrum_lease_gained_total")),
      lost_(metrics.Counter("hawthorndrum_lease_lost_total")),
      held_gauge_(metrics.Counter("hawthorndrum_lease_held")),
      bad_messages_(metrics.Counter("hawthorndrum_bad_peer_messages_total",
                                    MetricLabel("topic", "lease_holder"))) {}

bool lease_system::Holds() const { return held_ && clock_.Now() < valid_until_; }

void lease_system::Run(time_point now) {
  if (held_ && now >= valid_until_) Lose();
  record_.Run(now);
  if (held_) Announce(now);
  if (!record_.idle()) return;
  if (held_) {
    if (stopped_ || release_requested_ || !eligible_) return Release();
    if (now >= renew_at_) Renew();
    return;
  }
  if (!stopped_ && eligible_) PollStore(now);
}

void lease_system::PollStore(time_point now) {
  if (!has_holder_activity_) {
    // The wait before the first poll counts from the first tick.
    has_holder_activity_ = true;
    holder_active_at_ = now;
  }
  if (now < next_poll_ || now - holder_active_at_ < SilenceTimeout()) return;
  const duration pause = timing_.poll_every() * (1 + RankGroup());
  next_poll_ = now + pause +
               duration(static_cast<duration::rep>(
                   random_.Below(static_cast<std::uint64_t>(pause.count()) / 2)));
  record_.Read();
}

void lease_system::OnRecordRead(const record_state& state) {
  const time_point now = clock_.Now();
  write_purpose_ = write_purpose::kNothing;
  NoteStored(state, now);
  // A holder reads only to resolve a write; a record of another incarnation means that another
  // daemon wrote it.
  if (held_ && seen_.incarnation != self_) return Lose();
  if (held_ || stopped_ || !eligible_) return;
  TakeIfAvailable(now);
}

void lease_system::NoteStored(const record_state& state, time_point now) {
  if (!has_seen_ || state.version != seen_version_) {
    has_seen_ = true;
    seen_version_ = state.version;
    seen_since_ = now;
    // The stored lease changed, or this is the first poll: wait again, so that lower ranks go
    // first.
    holder_active_at_ = now;
  }
  const expected<lease_record> read = DecodeLease(state.value);
  is_unreadable_ = state.version && !read;
  seen_ = read.value_or(lease_record{});
  highest_ = std::max(highest_, seen_.term);
}

void lease_system::NoteStoreEra(std::uint64_t era) {
  if (era_ && era <= *era_) return;
  saw_former_era_ = era_.has_value();
  era_ = era;
  era_since_ = clock_.Now();
  has_seen_ = false;
  Lose();
}

void lease_system::TakeIfAvailable(time_point now) {
  // In the first era, nothing of a former one can be under way.
  if (era_.value_or(0) != 0 && now - era_since_ < std::max(timing_.length, seen_.length)) return;
  const bool released = seen_version_ && seen_.term && !seen_.holder;
  const bool own = seen_version_ && seen_.incarnation == self_;
  const bool never_held = timing_.take_missing_at_once && !seen_version_;
  const duration wait = std::max(timing_.length, seen_.length);
  if (released || own || never_held || now - seen_since_ >= wait) Take();
}

std::optional<lease_term> lease_system::UnusedTerm() const {
  const std::uint64_t era = era_.value_or(0);
  const std::uint64_t largest = era == 0 ? kLargestTerm : kLargestTermOfEras;
  if (era > (largest >> kEraShift)) return std::nullopt;
  const std::uint64_t first = era << kEraShift;
  std::uint64_t next = std::max(highest_.value() + 1, first);
  if (is_unreadable_) {
    // Each of the era's terms was given out by a write, and the version counts all writes.
    const std::uint64_t writes = seen_version_.value();
    const bool is_within_era = era == 0 || writes < (std::uint64_t{1} << kEraShift);
    if (!is_within_era) return std::nullopt;
    next = std::max(next, first + writes);
  }
  return next <= largest ? std::optional(lease_term(next)) : std::nullopt;
}

void lease_system::Take() {
  const std::optional<lease_term> next = UnusedTerm();
  if (!next) return;
  took_missing_ = !seen_version_ && !saw_former_era_;
  WriteRecord(*next, peers_.self(), write_purpose::kTake);
}

void lease_system::Renew() { WriteRecord(term_, peers_.self(), write_purpose::kRenew); }

void lease_system::Release() {
  const lease_term term = term_;
  Lose();
  release_requested_ = false;
  // Leaves time for other daemons to take the lease first.
  next_poll_ = clock_.Now() + timing_.length * 2;
  WriteRecord(term, peer_id(), write_purpose::kRelease);
}

void lease_system::WriteRecord(lease_term term, peer_id holder, write_purpose purpose) {
  lease_record next;
  next.term = term;
  next.holder = holder;
  next.incarnation = self_;
  next.nonce = random_.Draw();
  next.length = timing_.length;
  write_purpose_ = purpose;
  write_term_ = term;
  record_.Write(EncodeLease(next));
}

void lease_system::OnRecordWritten(const record_state& state, time_point sent) {
  const write_purpose purpose = std::exchange(write_purpose_, write_purpose::kNothing);
  const time_point now = clock_.Now();
  NoteStored(state, now);
  if (purpose == write_purpose::kRelease) return;
  // A renewal that is confirmed after the loss does not restore the lease; it must be taken again.
  if (purpose == write_purpose::kRenew && !held_) return;
  if (write_term_ < highest_) return Lose();
  valid_until_ = sent + timing_.length - timing_.margin;
  renew_at_ = sent + timing_.renew_after();
  if (purpose != write_purpose::kTake || now >= valid_until_) return;
  held_ = true;
  term_ = write_term_;
  known_holder_ = peers_.self();
  next_announcement_ = now;
  gained_.Add();
  held_gauge_.Set(1);
  for (lease_listener* listener : listeners_) listener->OnLeaseGained(term_);
}

void lease_system::Lose() {
  if (!held_) return;
  held_ = false;
  known_holder_ = peer_id();
  holder_active_at_ = clock_.Now();
  lost_.Add();
  held_gauge_.Set(0);
  record_.Abandon();
  for (lease_listener* listener : listeners_) listener->OnLeaseLost(term_);
}

void lease_system::NoteTerm(lease_term seen) {
  if (seen.value() > kLargestTerm) return;
  highest_ = std::max(highest_, seen);
  if (held_ && term_ < seen) Lose();
}

void lease_system::Stop() { stopped_ = true; }

void lease_system::Announce(time_point now) {
  if (now < next_announcement_) return;
  next_announcement_ = now + timing_.announce_every;
  const peer_message message = EncodeLeaseNotice({data_centre_, term_, self_});
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre) peers_.Send(peer.id, message);
  }
}

void lease_system::OnPeerMessage(peer_id from, const peer_message& message) {
  if (message.topic != peer_topic::kLeaseHolder) return;
  const expected<lease_notice> notice = DecodeLeaseNotice(message);
  if (!notice) return bad_messages_.Add();
  if (notice->data_centre != data_centre_ || notice->incarnation == self_) return;
  if (notice->term < highest_) return;
  if (notice->term.value() > highest_.value() + kLargestTermIncrease) return bad_messages_.Add();
  NoteTerm(notice->term);
  if (held_) return;
  known_holder_ = from;
  has_holder_activity_ = true;
  holder_active_at_ = clock_.Now();
  // No poll is needed while the holder sends notices.
  if (write_purpose_ == write_purpose::kNothing) record_.Abandon();
}

std::size_t lease_system::Rank() const {
  const std::uint64_t key = Hash64(data_centre_);
  const std::uint64_t own = RendezvousScore(key, peers_.self().value());
  std::size_t rank = 0;
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre && RendezvousScore(key, peer.id.value()) > own) ++rank;
  }
  return rank;
}

duration::rep lease_system::RankGroup() const {
  return static_cast<duration::rep>(Rank() / kCandidates);
}

duration lease_system::SilenceTimeout() const {
  // Every group waits two lease lengths longer than the group before it.
  const duration base = known_holder_ ? timing_.announce_every * 2 : duration(0);
  return base + timing_.length * 2 * RankGroup();
}

expected<nlohmann::json> lease_system::Report(std::string_view item) const {
  if (!item.empty() && item != data_centre_) {
    return tl::unexpected(error{error_code::kNotFound, "no such lease here"});
  }
  const bool holds = Holds();
  nlohmann::json report = {{"data_centre", data_centre_},
                           {"held_here", holds},
                           {"term", holds ? term_.value() : highest_.value()},
                           {"holder", known_holder_.value()},
                           {"rank", Rank()}};
  if (is_unreadable_) report["record"] = "unreadable";
  if (holds) report["trusted_for_ms"] = ToMilliseconds(valid_until_ - clock_.Now());
  return report;
}

expected<nlohmann::json> lease_system::Act(std::string_view verb, const nlohmann::json&) {
  if (verb != "give_back") return tl::unexpected(error{error_code::kNotFound, "no such verb"});
  if (!Holds()) return tl::unexpected(error{error_code::kConflict, "the lease is not held here"});
  release_requested_ = true;
  return nlohmann::json{{"gives_back", term_.value()}};
}

}  // namespace hawthorndrum
