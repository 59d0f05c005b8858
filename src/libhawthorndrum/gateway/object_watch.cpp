/// Lists and watches objects, with backoff after failures.
#include "gateway/object_watch.h"

#include <algorithm>
#include <utility>

#include "base/log_record.h"
#include "base/scaled.h"
#include "gateway/object_reader.h"
#include "ports/event_log.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

constexpr duration kInitialBackoff = milliseconds(60);
constexpr duration kMaxBackoff = milliseconds(800);
/**
 * A change reaches all watches within a few milliseconds, and other daemons' reports of it arrive
 * within a notice period; a watch that has been open for longer than this has missed the change.
 */
constexpr duration kMissedChangeTimeout = milliseconds(300);
/** The shortest wait of a watch, as a share of the longest. */
constexpr double kMinWaitShare = 0.4;
/** The end of a shorter outage is not logged. */
constexpr duration kMinLoggedOutage = milliseconds(500);

std::string_view NameOf(store_trouble trouble) {
  switch (trouble) {
    case store_trouble::kHistoryGone:
      return "history_gone";
    case store_trouble::kRefused:
      return "refused";
    case store_trouble::kRejected:
      return "rejected";
    case store_trouble::kUnreadable:
      return "unreadable";
    case store_trouble::kNoAnswer:
      return "silent";
  }
  return "unknown";
}

}  // namespace

object_watch::object_watch(std::string kind, object_reader& reader, object_watch_listener& listener,
                           random_source& random, event_log& log)
    : kind_(std::move(kind)), reader_(reader), listener_(listener), random_(random), log_(log) {}

void object_watch::SetHeld(bool held) {
  held_ = held;
  if (held_ && phase_ == phase::kWatching) call_open_ = false;
}

void object_watch::AdvanceTo(std::uint64_t revision, std::uint64_t newest_change) {
  if (phase_ != phase::kWatching) return;
  revision_ = std::max(revision_, revision);
  last_change_revision_ = std::max(last_change_revision_, newest_change);
  SetCurrent(true);
}

void object_watch::SetCurrent(bool is_current) {
  if (is_current_ == is_current) return;
  is_current_ = is_current;
  listener_.OnCurrent(is_current);
}

void object_watch::Run(time_point now) {
  if (call_open_ || now < next_call_) return;
  if (held_ && phase_ == phase::kWatching) return;
  call_open_ = true;
  call_start_ = now;
  ++call_;
  if (phase_ == phase::kWatching) {
    // Randomised, so that watches that one change ended together do not time out together.
    const double share = kMinWaitShare + (1 - kMinWaitShare) * random_.Fraction();
    return reader_.Watch(kind_, revision_, Scaled(wait_, share), call_);
  }
  if (after_.empty()) listener_.OnListBegins();
  reader_.List(kind_, after_, call_);
}

void object_watch::OnNewerRevisionReported(time_point now) {
  if (phase_ != phase::kWatching || !call_open_ || now - call_start_ < kMissedChangeTimeout) return;
  log_.Write(log_importance::kNotable, log_record("watch_missed_news")
                                           .Text("kind", kind_)
                                           .Number("revision", static_cast<std::int64_t>(revision_))
                                           .Number("after_ms", ToMilliseconds(now - call_start_)));
  call_open_ = false;
  next_call_ = now;
  StartList();
  Run(now);
}

void object_watch::OnCallSucceeded(time_point now) {
  call_open_ = false;
  SetCurrent(true);
  if (failures_ == 0) return;
  failures_ = 0;
  const duration outage = now - failed_since_;
  listener_.OnStoreRecovered(outage);
  if (outage < kMinLoggedOutage) return;
  log_.Write(log_importance::kImportant,
             log_record("store_regained")
                 .Text("kind", kind_)
                 .Number("after_ms", ToMilliseconds(outage))
                 .Number("revision", static_cast<std::int64_t>(revision_)));
}

void object_watch::OnListPart(std::uint64_t call, const listed_part& part, time_point now) {
  if (call != call_ || !call_open_) return;
  // A list that goes on twice behind one name has no end.
  if (!part.next_after.empty() && !continued_after_.insert(part.next_after).second)
    return OnCallFailed(call, store_trouble::kUnreadable, now);
  OnCallSucceeded(now);
  after_ = part.next_after;
  last_change_revision_ = std::max(last_change_revision_, part.newest_change);
  // Starts at the first part's revision, so that the watch returns changes made during the list.
  if (revision_ == 0 || part.revision < revision_) revision_ = part.revision;
  if (!after_.empty()) return Run(now);
  phase_ = phase::kWatching;
  listener_.OnListComplete();
  Run(now);
}

void object_watch::OnEvents(std::uint64_t call, std::uint64_t revision, std::uint64_t newest_change,
                            time_point now) {
  if (call != call_ || !call_open_) return;
  OnCallSucceeded(now);
  revision_ = std::max(revision_, revision);
  last_change_revision_ = std::max(last_change_revision_, newest_change);
  if (newest_change > 0) next_call_ = now + pause_;
  Run(now);
}

void object_watch::StartList() {
  phase_ = phase::kListing;
  after_.clear();
  continued_after_.clear();
  revision_ = 0;
}

bool object_watch::AcceptEra(std::uint64_t call, std::optional<std::uint64_t> era, time_point now) {
  if (!era || !IsOpen(call)) return true;
  const std::optional<std::uint64_t> before = std::exchange(era_, era);
  if (!before || before == era) return true;
  log_.Write(log_importance::kImportant,
             log_record("store_restored")
                 .Text("kind", kind_)
                 .Number("era", static_cast<std::int64_t>(*era))
                 .Number("revision", static_cast<std::int64_t>(revision_)));
  call_open_ = false;
  last_change_revision_ = 0;
  StartList();
  listener_.OnStoreRestored();
  Run(now);
  return false;
}

void object_watch::OnCallFailed(std::uint64_t call, store_trouble trouble, time_point now) {
  if (call != call_ || !call_open_) return;
  call_open_ = false;
  if (trouble == store_trouble::kHistoryGone) {
    log_.Write(log_importance::kImportant,
               log_record("store_history_gone")
                   .Text("kind", kind_)
                   .Number("revision", static_cast<std::int64_t>(revision_)));
    StartList();
    return Run(now);
  }
  if (failures_ == 0) {
    failed_since_ = now;
    SetCurrent(false);
    log_.Write(log_importance::kImportant,
               log_record("store_lost")
                   .Text("kind", kind_)
                   .Text("trouble", NameOf(trouble))
                   .Number("revision", static_cast<std::int64_t>(revision_)));
  }
  // The same call would fail again; a new list may be divided at other names, and has the present
  // objects only.
  if (trouble == store_trouble::kUnreadable || trouble == store_trouble::kRejected) StartList();
  const duration backoff =
      std::min<duration>(kInitialBackoff * (1 << std::min(failures_, 5)), kMaxBackoff);
  failures_ += 1;
  // Half of the backoff is random, so that daemons that lost the store together do not retry
  // together.
  next_call_ = now + backoff / 2 +
               duration(static_cast<std::int64_t>(random_.Below(backoff.count() / 2 + 1)));
}

}  // namespace hawthorndrum
