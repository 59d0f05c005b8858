/// Reads, conditional writes, and the resolution of writes whose answer was lost.
#include "systems/stored_record.h"

#include <algorithm>
#include <utility>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/random_source.h"

namespace hawthorndrum {
namespace {

constexpr duration kFirstBackoff = milliseconds(200);
constexpr duration kLongestBackoff = seconds(30);
constexpr int kLargestDoubling = 7;

}  // namespace

stored_record::stored_record(object_store& store, const clock& clock, random_source& random,
                             metrics_registry& metrics, std::string key, record_listener& listener)
    : store_(store),
      clock_(clock),
      random_(random),
      key_(std::move(key)),
      listener_(listener),
      calls_(metrics.Counter("hawthorndrum_record_calls_total", MetricLabel("key", key_))),
      failures_(metrics.Counter("hawthorndrum_record_failures_total", MetricLabel("key", key_))) {}

void stored_record::Read() {
  if (goal_ != goal::kNone) return;
  goal_ = goal::kRead;
  abandoned_ = false;
  Submit(store_operation::kGet);
}

void stored_record::Write(std::string value) {
  if (goal_ != goal::kNone) return;
  goal_ = goal::kWrite;
  abandoned_ = false;
  settling_ = false;
  may_take_effect_ = false;
  new_value_ = std::move(value);
  Submit(state_.version ? store_operation::kUpdate : store_operation::kCreate);
}

void stored_record::Abandon() { abandoned_ = true; }

void stored_record::Run(time_point now) {
  if (goal_ == goal::kNone || call_) return;
  if (abandoned_ && goal_ == goal::kRead) {
    goal_ = goal::kNone;
    return;
  }
  if (now < next_try_) return;
  if (abandoned_) goal_ = goal::kRead;
  const bool read = goal_ == goal::kRead || settling_;
  if (read) return Submit(store_operation::kGet);
  Submit(state_.version ? store_operation::kUpdate : store_operation::kCreate);
}

void stored_record::Submit(store_operation operation) {
  store_call call;
  call.operation = operation;
  call.key = key_;
  if (operation != store_operation::kGet) {
    call.expected = state_.version;
    call.value = new_value_;
    if (!may_take_effect_) first_sent_ = clock_.Now();
  }
  operation_ = operation;
  calls_.Add();
  call_ = store_.Submit(std::move(call), *this);
}

void stored_record::OnStoreAnswer(store_call_id id, const store_answer& answer) {
  if (id != call_) return;
  call_ = store_call_id();
  if (!AcceptEra(answer)) return;
  if (operation_ == store_operation::kGet) return OnReadAnswer(answer);
  OnWriteAnswer(answer);
}

bool stored_record::AcceptEra(const store_answer& answer) {
  if (!answer.era || answer.era == era_) return true;
  if (era_ && *answer.era < *era_) {
    // A late answer of the store before its restore. A write in it is lost, or was undone.
    settling_ = goal_ == goal::kWrite;
    RetryLater();
    return false;
  }
  const bool is_first = !era_;
  era_ = answer.era;
  listener_.OnStoreEra(*era_);
  const bool was_write = operation_ != store_operation::kGet;
  // Nothing was known of the object before the first era, so no version can be mistaken.
  if (is_first && !(was_write && state_.version)) return true;
  state_ = {};
  if (!was_write && goal_ == goal::kRead) return true;
  goal_ = goal::kRead;
  Submit(store_operation::kGet);
  return false;
}

void stored_record::OnReadAnswer(const store_answer& answer) {
  const bool read =
      answer.outcome == store_outcome::kDone || answer.outcome == store_outcome::kMissing;
  if (!read) return RetryLater();
  consecutive_failures_ = 0;
  record_state found;
  if (answer.outcome == store_outcome::kDone) found = {answer.version, answer.value};
  if (goal_ == goal::kWrite) {
    settling_ = false;
    if (found.version && found.value == new_value_) {
      goal_ = goal::kNone;
      state_ = std::move(found);
      return listener_.OnRecordWritten(state_, first_sent_);
    }
    const bool unchanged = found.version == state_.version;
    if (unchanged && !abandoned_) {
      return Submit(state_.version ? store_operation::kUpdate : store_operation::kCreate);
    }
  }
  Finish(std::move(found));
}

void stored_record::OnWriteAnswer(const store_answer& answer) {
  switch (answer.outcome) {
    case store_outcome::kDone:
      consecutive_failures_ = 0;
      goal_ = goal::kNone;
      state_ = {answer.version, new_value_};
      return listener_.OnRecordWritten(state_, first_sent_);
    case store_outcome::kConflict:
    case store_outcome::kMissing:
      // The present value may come from an earlier attempt at this write.
      settling_ = true;
      return Submit(store_operation::kGet);
    case store_outcome::kRefused:
      return RetryLater();
    case store_outcome::kUnknown:
    case store_outcome::kStale:
      may_take_effect_ = true;
      settling_ = true;
      return RetryLater();
  }
}

void stored_record::Finish(record_state state) {
  goal_ = goal::kNone;
  state_ = std::move(state);
  listener_.OnRecordRead(state_);
}

void stored_record::RetryLater() {
  failures_.Add();
  const int doublings = std::min(consecutive_failures_++, kLargestDoubling);
  const duration limit = std::min(kLongestBackoff, kFirstBackoff * (1 << doublings));
  next_try_ = clock_.Now() + duration(static_cast<duration::rep>(
                                 random_.Below(static_cast<std::uint64_t>(limit.count()))));
}

}  // namespace hawthorndrum
