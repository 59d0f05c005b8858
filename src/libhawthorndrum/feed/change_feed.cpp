/// Chooses the reader, sends what it read, and applies it at the other daemons.
#include "feed/change_feed.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "base/log_record.h"
#include "base/scaled.h"
#include "feed/feed_sender.h"
#include "feed/feed_target.h"
#include "gateway/daemon_directory.h"
#include "ports/event_log.h"

namespace hawthorndrum {

namespace {

/** The interval of messages without changes grows with the daemons that get them. */
constexpr duration kPeriodPerDaemon = milliseconds(7);
constexpr duration kMinPeriod = milliseconds(300);
constexpr duration kMaxPeriod = milliseconds(400);
/** Shares of the time within which changes must be known; the rest is for a call of its own. */
constexpr double kFreshShare = 0.4;
constexpr double kTimeoutShare = 0.3;
constexpr duration kAskAgain = milliseconds(150);

}  // namespace

change_feed::change_feed(const daemon_directory& daemons, feed_sender& sender, feed_target& target,
                         event_log& log, std::string own_name, std::string own_data_centre,
                         std::size_t min_daemons, duration known_within)
    : daemons_(daemons),
      sender_(sender),
      target_(target),
      log_(log),
      own_name_(std::move(own_name)),
      own_data_centre_(std::move(own_data_centre)),
      min_daemons_(min_daemons),
      fresh_for_(Scaled(known_within, kFreshShare)),
      reader_timeout_(Scaled(known_within, kTimeoutShare)) {}

bool change_feed::Fits(const feed_message& message) {
  const auto is_short = [](const object_change& each) {
    return !each.content || each.content->size() <= feed_message::kMaxContentLength;
  };
  return message.changes.size() <= feed_message::kMaxChanges &&
         std::all_of(message.changes.begin(), message.changes.end(), is_short);
}

std::string change_feed::Reader(time_point now) const {
  const auto is_skipped = [&](const std::string& name) {
    const auto skipped = skipped_until_.find(name);
    return skipped != skipped_until_.end() && now < skipped->second;
  };
  std::string first = is_skipped(own_name_) ? std::string() : own_name_;
  for (const daemon_record& other : daemons_.others()) {
    const bool is_earlier = first.empty() || other.name < first;
    const bool is_near = other.data_centre == own_data_centre_;
    if (is_near && is_earlier && !is_skipped(other.name)) first = other.name;
  }
  return first.empty() ? own_name_ : first;
}

void change_feed::ChooseReader(time_point now) {
  std::string chosen = Reader(now);
  if (chosen != reader_) {
    reader_ = std::move(chosen);
    reader_since_ = now;
  }
  if (reader_ != own_name_ && now - std::max(heard_at_, reader_since_) > reader_timeout_) {
    skipped_until_[reader_] = now + kSkipTime;
    reader_ = Reader(now);
    reader_since_ = now;
  }
  const bool was_reader = std::exchange(is_reader_, reader_ == own_name_);
  if (was_reader == is_reader_) return;
  log_.Write(log_importance::kNotable,
             log_record("host_list_reader")
                 .Flag("own", is_reader_)
                 .Text("reader", reader_)
                 .Number("revision", static_cast<std::int64_t>(target_.feed_revision())));
}

std::vector<std::string> change_feed::Followers() const {
  std::vector<std::string> addresses;
  for (const daemon_record& other : daemons_.others()) {
    if (other.data_centre == own_data_centre_) addresses.push_back(other.notices_address);
  }
  return addresses;
}

duration change_feed::Period(std::size_t followers) const {
  const auto count = static_cast<std::int64_t>(followers);
  return std::clamp<duration>(kPeriodPerDaemon * count, kMinPeriod, kMaxPeriod);
}

void change_feed::Send(const feed_message& message, boost::span<const std::string> to) {
  feed_message sent = message;
  sent.era = target_.feed_era();
  for (const std::string& address : to) sender_.SendFeed(address, sent);
}

std::vector<feed_message> change_feed::Divide(std::uint64_t from, std::uint64_t to,
                                              std::uint64_t newest_change,
                                              boost::span<const object_change> changes) {
  std::vector<feed_message> parts;
  feed_message part;
  part.from = from;
  part.newest_change = newest_change;
  for (const object_change& each : changes) {
    // A removal has no revision at which a part could end.
    const bool may_end = part.changes.size() >= feed_message::kMaxChanges / 2 &&
                         part.changes.back().revision > part.from;
    if (may_end) {
      part.to = part.changes.back().revision;
      const std::uint64_t end = part.to;
      parts.push_back(std::exchange(part, {}));
      part.from = end;
      part.newest_change = newest_change;
    }
    part.changes.push_back(each);
  }
  part.to = std::max(to, part.from);
  parts.push_back(std::move(part));
  return parts;
}

void change_feed::OnRead(std::uint64_t from, std::uint64_t to, std::uint64_t newest_change,
                         boost::span<const object_change> changes, time_point now) {
  answered_at_ = now;
  if (!history_.empty() && history_.back().to != from) history_.clear();
  if (changes.empty()) return NoteUnchanged(from, to, newest_change);
  const std::vector<std::string> followers = is_reader_ ? Followers() : std::vector<std::string>();
  for (feed_message& part : Divide(from, to, newest_change, changes)) {
    // Daemons that miss too large a part read the store themselves.
    const bool fits = Fits(part);
    if (fits) Send(part, followers);
    if (!fits) {
      history_.clear();
      continue;
    }
    history_.push_back(std::move(part));
    if (history_.size() > kMaxHistory) history_.pop_front();
  }
  if (is_reader_) next_beat_ = now + Period(followers.size());
}

void change_feed::NoteUnchanged(std::uint64_t from, std::uint64_t to, std::uint64_t newest_change) {
  if (to <= from) return;
  if (history_.empty() || !history_.back().changes.empty()) {
    feed_message unchanged;
    unchanged.from = from;
    history_.push_back(std::move(unchanged));
  }
  history_.back().to = to;
  history_.back().newest_change = newest_change;
}

void change_feed::Answer(const feed_message& question, const std::string& to) {
  const std::vector<std::string> receiver = {to};
  for (const feed_message& part : history_) {
    if (part.to > question.to) Send(part, receiver);
  }
}

void change_feed::OnMessage(const feed_message& message, const std::string& from, time_point now) {
  // Revisions of another era name other changes; this daemon reads the store until it agrees.
  if (message.era != target_.feed_era()) return;
  if (message.kind == feed_message_kind::kQuestion) return Answer(message, from);
  if (is_reader_) return;
  heard_at_ = now;
  const std::uint64_t own = target_.feed_revision();
  if (own == 0) return;
  if (message.to > own && message.from <= own) ApplyMessage(message, now);
  if (target_.feed_revision() == message.to) {
    differs_ = false;
    return;
  }
  const bool was_ahead = std::exchange(is_ahead_, message.to < own);
  if (!std::exchange(differs_, true) || was_ahead != is_ahead_) differs_since_ = now;
  if (is_ahead_ || now - asked_at_ < kAskAgain) return;
  asked_at_ = now;
  feed_message question;
  question.kind = feed_message_kind::kQuestion;
  question.from = question.to = own;
  Send(question, std::vector<std::string>{from});
}

void change_feed::ApplyMessage(const feed_message& message, time_point now) {
  const std::uint64_t own = target_.feed_revision();
  // Only the last state of each object counts: an earlier one may be older than what is known here.
  std::unordered_map<std::string, std::size_t> last;
  for (std::size_t i = 0; i < message.changes.size(); ++i) last[message.changes[i].name] = i;
  std::vector<object_change> news;
  for (std::size_t i = 0; i < message.changes.size(); ++i) {
    const object_change& each = message.changes[i];
    const bool is_known = each.content && each.revision <= own;
    if (last[each.name] == i && !is_known) news.push_back(each);
  }
  target_.Apply(news, message.to, message.newest_change);
  // This daemon may have to answer questions as the next reader.
  if (!history_.empty() && history_.back().to != message.from) history_.clear();
  history_.push_back(message);
  if (history_.size() > kMaxHistory) history_.pop_front();
}

bool change_feed::Follows(time_point now) const {
  if (is_reader_ || heard_at_ == time_point() || now - heard_at_ > reader_timeout_) return false;
  return !differs_ || now - differs_since_ <= (is_ahead_ ? kMaxAhead : kMaxLag);
}

void change_feed::Run(time_point now) {
  const std::size_t daemons = Followers().size() + 1;
  if (daemons < min_daemons_) {
    is_reader_ = false;
    heard_at_ = time_point();
    return;
  }
  // The others skip a reader that the store does not answer; so does this daemon, to follow them.
  const bool is_fresh = now - answered_at_ <= fresh_for_;
  if (is_reader_ && !is_fresh && now - reader_since_ > fresh_for_)
    skipped_until_[own_name_] = now + kSkipTime;
  ChooseReader(now);
  if (!is_reader_ || !is_fresh || now < next_beat_ || target_.feed_revision() == 0) return;
  const std::vector<std::string> followers = Followers();
  next_beat_ = now + Period(followers.size());
  feed_message beat;
  beat.from = beat.to = target_.feed_revision();
  const bool is_unchanged =
      !history_.empty() && history_.back().to == beat.to && history_.back().changes.empty();
  if (is_unchanged) beat = history_.back();
  Send(beat, followers);
}

}  // namespace hawthorndrum
