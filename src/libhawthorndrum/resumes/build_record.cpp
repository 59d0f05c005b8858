/// Reads and writes the record of settled builds.
#include "resumes/build_record.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log_record.h"
#include "gateway/daemon_directory.h"
#include "ports/event_log.h"
#include "ports/random_source.h"
#include "resumes/stream_resumes.h"

namespace hawthorndrum {

namespace {

constexpr char kKey[] = "builds/settled";
constexpr duration kCheckPeriod = milliseconds(200);
constexpr duration kInitialBackoff = milliseconds(300);
constexpr int kMaxDoublings = 4;

}  // namespace

build_record::build_record(object_store& store, const daemon_directory& daemons,
                           stream_resumes& resumes, random_source& random, event_log& log,
                           std::string own_name)
    : store_(store),
      daemons_(daemons),
      resumes_(resumes),
      random_(random),
      log_(log),
      own_name_(std::move(own_name)) {}

std::size_t build_record::Rank() const {
  const auto score = [](const std::string& name) {
    return RendezvousScore(Hash64(kKey), Hash64(name));
  };
  const std::uint64_t own = score(own_name_);
  const auto& others = daemons_.others();
  return static_cast<std::size_t>(
      std::count_if(others.begin(), others.end(),
                    [&](const daemon_record& each) { return score(each.name) > own; }));
}

bool build_record::Request(time_point now) {
  now_ = now;
  if (call_open_ && !writing_) return true;
  if (call_open_ || now < next_call_) return false;
  Read(now);
  return true;
}

void build_record::Read(time_point now) {
  store_call call;
  call.key = kKey;
  call.timeout = kCallTimeout;
  call_open_ = true;
  read_at_ = now;
  call_ = store_.Submit(std::move(call), *this);
}

void build_record::Write(settled_builds updated, time_point now) {
  store_call call;
  call.operation = version_ ? store_operation::kUpdate : store_operation::kCreate;
  call.key = kKey;
  call.expected = version_;
  call.value = EncodeSettledBuilds(updated);
  call.timeout = kCallTimeout;
  call_open_ = true;
  writing_ = std::move(updated);
  log_.Write(log_importance::kNotable,
             log_record("builds_recorded")
                 .Number("services", static_cast<std::int64_t>(writing_->builds.size()))
                 .Flag("routes", writing_->routes != 0)
                 .Number("after_ms", ToMilliseconds(now - differs_since_.value_or(now))));
  call_ = store_.Submit(std::move(call), *this);
}

void build_record::OnStoreAnswer(store_call_id id, const store_answer& answer) {
  if (!call_open_ || id != call_) return;
  call_open_ = false;
  const bool was_read = !writing_;
  if (was_read) {
    OnRead(answer);
  } else {
    OnWritten(answer);
  }
}

void build_record::OnRead(const store_answer& answer) {
  const bool is_known =
      answer.outcome == store_outcome::kDone || answer.outcome == store_outcome::kMissing;
  known_.reset();
  if (!is_known) {
    BackOff(now_);
    return resumes_.OnRecord(nullptr);
  }
  failures_ = 0;
  era_ = answer.era.value_or(0);
  version_ = answer.outcome == store_outcome::kDone ? answer.version : object_version();
  known_ = settled_builds();
  if (!version_) return resumes_.OnRecord(nullptr);
  const auto record = DecodeSettledBuilds(answer.value);
  if (record) {
    known_ = *record;
  } else {
    log_.Write(log_importance::kImportant,
               log_record("builds_unreadable").Text("why", record.error().message));
  }
  const bool is_trusted = record && record->era == era_;
  resumes_.OnRecord(is_trusted ? &*known_ : nullptr);
}

void build_record::OnWritten(const store_answer& answer) {
  settled_builds written = *std::exchange(writing_, std::nullopt);
  if (answer.outcome == store_outcome::kDone) {
    failures_ = 0;
    version_ = answer.version;
    // Written under an older era, it is not trusted; the next check writes it again.
    era_ = answer.era.value_or(0);
    known_ = std::move(written);
    return;
  }
  // Another daemon wrote, or nobody knows whether this write took effect.
  known_.reset();
  BackOff(now_);
}

void build_record::BackOff(time_point now) {
  const duration longest = kInitialBackoff * (1 << std::min(failures_, kMaxDoublings));
  failures_ += 1;
  next_call_ = now + longest / 2 +
               duration(static_cast<std::int64_t>(
                   random_.Below(static_cast<std::uint64_t>(longest.count()) / 2 + 1)));
}

void build_record::Run(time_point now) {
  now_ = now;
  if (call_open_ || now < next_call_ || now - checked_at_ < kCheckPeriod) return;
  checked_at_ = now;
  single_build& seen = resumes_.only();
  const std::size_t rank = seen.follows_changes() ? Rank() : kWriters;
  if (rank >= kWriters) {
    known_.reset();
    differs_since_.reset();
    return;
  }
  const duration delay = kRankDelay * static_cast<int>(rank);
  if (!known_) {
    if (now - *seen.list_known_since() >= delay) Read(now);
    return;
  }
  settled_builds updated = seen.Update(*known_, era_, now);
  if (updated == *known_ || (!version_ && updated.builds.empty())) return differs_since_.reset();
  if (!differs_since_) differs_since_ = now;
  if (now - *differs_since_ < delay) return;
  if (rank > 0 && read_at_ < *differs_since_) return Read(now);
  Write(std::move(updated), now);
}

}  // namespace hawthorndrum
