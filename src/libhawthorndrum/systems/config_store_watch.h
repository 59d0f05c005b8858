/// Watches the configuration's head in the object store.
#pragma once

#include <string>

#include "base/metrics_registry.h"
#include "ports/object_store.h"
#include "systems/system.h"

namespace hawthorndrum {

class random_source;

/** Receives the results of reading the head. */
class store_head_listener {
 public:
  virtual ~store_head_listener() = default;
  virtual void OnStoreHead(const std::string& bytes) = 0;
  /** The store answered that there is no head. */
  virtual void OnStoreHeadMissing() = 0;
};

/**
 * Reads the head once at the start. While watching is set, it keeps one watch open and reads the
 * head after each answer, even one without events: a change that the watch misses is then delayed
 * by at most one watch's duration. Failures are retried with exponential backoff.
 */
class config_store_watch : public system, public store_listener {
 public:
  config_store_watch(object_store& store, random_source& random, metrics_registry& metrics,
                     store_head_listener& listener);

  void SetWatching(bool watching) { watching_ = watching; }
  /** Reads the head on the next run; the answer to an open watch is ignored. */
  void ReadSoon();

  void Run(time_point now) override;
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

  bool watching() const { return watching_; }
  /** Whether the last call was answered. */
  bool answering() const { return answering_; }

 private:
  enum class step { kRead, kList, kWatch };

  void Submit();
  void OnRead(const store_answer& answer);
  void OnListed(const store_answer& answer);
  void OnWatched(const store_answer& answer);
  void OnFailure();

  object_store& store_;
  random_source& random_;
  store_head_listener& listener_;
  counter& calls_;
  counter& failures_;

  step step_ = step::kRead;
  bool watching_ = false;
  bool answering_ = false;
  store_call_id open_;
  /** The next watch asks for changes after this revision. */
  object_version revision_;
  time_point now_;
  time_point next_call_;
  duration backoff_{0};
};

}  // namespace hawthorndrum
