/// A single store object that is read and replaced; resolves writes whose answer was lost.
#pragma once

#include <optional>
#include <string>

#include "base/counter.h"
#include "base/ids.h"
#include "base/units.h"
#include "ports/object_store.h"

namespace hawthorndrum {

class clock;
class metrics_registry;
class random_source;

/** The object as last read or written: its version (0: there is no object) and its value. */
struct record_state {
  object_version version;
  std::string value;
};

/**
 * Notified when reads and writes end. Unless abandoned, each Read ends in OnRecordRead, and each
 * Write in OnRecordWritten, or in OnRecordRead with the value that another writer stored.
 */
class record_listener {
 public:
  virtual ~record_listener() = default;
  virtual void OnRecordRead(const record_state& state) = 0;
  /** `sent` is the earliest time at which a call that may have written it was sent. */
  virtual void OnRecordWritten(const record_state& state, time_point sent) = 0;
  /**
   * The store names an era that this record has not seen: everything known of the object is void.
   * Called before the notifications that follow from the answer; also for the first era.
   */
  virtual void OnStoreEra(std::uint64_t era) {}
};

/**
 * Reads one object and replaces it with compare-and-set. A write of unknown outcome is resolved by
 * reading back: every value written must be unique (hold a nonce), so that an equal value proves
 * that the write took effect, and an unchanged version lets the same value be written again.
 *
 * In a later era of the store, versions of the era before mean other contents. A write that is
 * answered in a later era than that of state() is resolved by reading, whatever the answer says; an
 * answer of an earlier era changes nothing.
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
  /** Stops retrying: no write is sent again. A call in flight may still end in a notification. */
  void Abandon();
  /** Retries calls whose backoff is over. */
  void Run(time_point now);

  bool idle() const { return goal_ == goal::kNone; }
  const record_state& state() const { return state_; }

  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

 private:
  enum class goal { kNone, kRead, kWrite };

  /** Returns whether the answer may be used; starts a new era if it names one. */
  bool AcceptEra(const store_answer& answer);
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
  /** Set after a write whose outcome is not known: the next call must be a read. */
  bool settling_ = false;
  /** Whether an earlier attempt at this write may still take effect. */
  bool may_take_effect_ = false;
  time_point first_sent_;
  std::string new_value_;
  record_state state_;
  /** The latest era of the store; state_ is of this era. */
  std::optional<std::uint64_t> era_;
  store_call_id call_;
  store_operation operation_ = store_operation::kGet;
  int consecutive_failures_ = 0;
  time_point next_try_;
};

}  // namespace hawthorndrum
