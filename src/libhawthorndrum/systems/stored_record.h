/// One object of the store that a part of the core reads and replaces, with lost answers settled.
#pragma once

#include <string>

#include "base/counter.h"
#include "base/ids.h"
#include "base/units.h"
#include "ports/object_store.h"

namespace hawthorndrum {

class clock;
class metrics_registry;
class random_source;

/** What was read: the object's version (0: there is none) and its value. */
struct record_state {
  object_version version;
  std::string value;
};

/**
 * Gets the ends of reads and writes. Each Read ends in OnRecordRead; each Write ends in
 * OnRecordWritten, or in OnRecordRead with what another writer put there.
 */
class record_listener {
 public:
  virtual ~record_listener() = default;
  virtual void OnRecordRead(const record_state& state) = 0;
  /** `sent` is the earliest time at which a call that may have written it was sent. */
  virtual void OnRecordWritten(const record_state& state, time_point sent) = 0;
};

/**
 * Reads and conditionally replaces one object. A write whose outcome is not known is settled by
 * reading back: every value written must be unique (hold a nonce), so that an equal value proves
 * that the write took effect, and an unchanged version lets the same value be written again.
 *
 * Invariant: at most one call is in flight; a written value replaces exactly `state()`.
 */
class stored_record : public store_listener {
 public:
  stored_record(object_store& store, const clock& clock, random_source& random,
                metrics_registry& metrics, std::string key, record_listener& listener);

  /** Starts a read unless a call is under way. */
  void Read();
  /** Starts to replace what was last read or written; only while idle. */
  void Write(std::string value);
  /** Stops repeating; a call in flight still ends in OnRecordRead. */
  void Abandon();
  /** Repeats calls whose backoff is over. */
  void Run(time_point now);

  bool idle() const { return goal_ == goal::kNone; }
  const record_state& state() const { return state_; }

  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

 private:
  enum class goal { kNone, kRead, kWrite };

  void Submit(store_operation operation);
  void OnReadAnswer(const store_answer& answer);
  void OnWriteAnswer(const store_answer& answer);
  void Finish(record_state state);
  void RetryLater();

  object_store& store_;
  const clock& clock_;
  random_source& random_;
  std::string key_;
  record_listener& listener_;
  counter& calls_;
  counter& failures_;

  goal goal_ = goal::kNone;
  bool abandoned_ = false;
  /** Set after a write whose outcome is not known: read before anything else. */
  bool settling_ = false;
  /** Whether some earlier try of this write may yet take effect. */
  bool may_land_ = false;
  time_point first_sent_;
  std::string wanted_;
  record_state state_;
  store_call_id call_;
  store_operation operation_ = store_operation::kGet;
  int failures_in_a_row_ = 0;
  time_point next_try_;
};

}  // namespace hawthorndrum
