/// An in-memory object store whose answers a test delivers, drops or delays.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ports/object_store.h"

namespace hawthorndrum {

/**
 * Calls wait in a queue until the test runs them. Several daemons' cores may share one store
 * through one fake_store_client each.
 */
class fake_object_store {
 public:
  struct object {
    std::string value;
    object_version version;
  };

  struct waiting_call {
    store_call_id id;
    store_call call;
    store_listener* listener = nullptr;
    /** The daemon that made the call. */
    int client = 0;
  };

  store_call_id Enqueue(int client, store_call call, store_listener& listener) {
    const store_call_id id(++last_call_);
    calls_ += 1;
    if (IsWrite(call.operation)) writes_ += 1;
    waiting_.push_back({id, std::move(call), &listener, client});
    return id;
  }

  /** Applies the call to the objects and returns its answer. */
  store_answer Apply(const store_call& call) {
    store_answer answer = ApplyToObjects(call);
    answer.era = era_;
    return answer;
  }

  /** Makes the store name its era in its answers. */
  void BeginEras(std::uint64_t first = 1) { era_ = first; }
  void SetEra(std::uint64_t era) { era_ = era; }
  /** Keeps a copy of the present objects for Restore(). */
  void Copy() {
    copy_ = objects_;
    copy_revision_ = revision_;
  }
  /** Comes back from the last copy: what was written since is lost, revisions are given out again.
   */
  void Restore() {
    objects_ = copy_;
    revision_ = copy_revision_;
    changes_.clear();
    if (era_) *era_ += 1;
  }

  /** Applies and answers calls until only watches without a change are left waiting. */
  void RunAll() {
    bool progress = true;
    while (progress) {
      progress = false;
      for (std::size_t i = 0; i < waiting_.size(); ++i) {
        if (waiting_[i].call.operation == store_operation::kWatch && !HasChanges(waiting_[i].call))
          continue;
        RunAt(i);
        progress = true;
        break;
      }
    }
  }

  /** Applies the waiting call at that position and answers it. */
  void RunAt(std::size_t position) {
    const waiting_call taken = TakeAt(position);
    const store_answer answer = Apply(taken.call);
    taken.listener->OnStoreAnswer(taken.id, answer);
  }

  /** Applies the call and answers kUnknown, as if its answer were lost. */
  void RunAtLosingAnswer(std::size_t position) {
    const waiting_call taken = TakeAt(position);
    Apply(taken.call);
    taken.listener->OnStoreAnswer(taken.id, store_answer{});
  }

  /** Applies the waiting call and answers it with a corrupted value. */
  void RunAtDamaging(std::size_t position) {
    const waiting_call taken = TakeAt(position);
    store_answer answer = Apply(taken.call);
    if (!answer.value.empty()) answer.value[answer.value.size() / 2] ^= 0x11;
    taken.listener->OnStoreAnswer(taken.id, answer);
  }

  /** Answers kUnknown without applying the call; returns the call, to be applied later. */
  store_call DelayAt(std::size_t position) {
    const waiting_call taken = TakeAt(position);
    taken.listener->OnStoreAnswer(taken.id, store_answer{});
    return taken.call;
  }

  /** Answers the call with `outcome` without applying it. */
  void FailAt(std::size_t position, store_outcome outcome) {
    const waiting_call taken = TakeAt(position);
    store_answer answer;
    answer.outcome = outcome;
    taken.listener->OnStoreAnswer(taken.id, answer);
  }

  /** Drops a killed daemon's waiting calls; with `apply` they take effect first. */
  void DropClient(int client, bool apply) {
    for (std::size_t i = waiting_.size(); i-- > 0;) {
      if (waiting_[i].client != client) continue;
      const waiting_call taken = TakeAt(i);
      if (apply) Apply(taken.call);
    }
  }

  /** Whether there is a change that the watch can answer with. */
  bool HasChanges(const store_call& watch) const;

  const std::deque<waiting_call>& waiting() const { return waiting_; }
  const std::map<std::string, object>& objects() const { return objects_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t writes() const { return writes_; }

 private:
  static bool IsWrite(store_operation operation) {
    return operation == store_operation::kCreate || operation == store_operation::kUpdate ||
           operation == store_operation::kRemove;
  }

  store_answer ApplyToObjects(const store_call& call);
  store_answer List(const store_call& call) const;
  store_answer Write(const store_call& call);

  waiting_call TakeAt(std::size_t position) {
    waiting_call taken = waiting_.at(position);
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(position));
    return taken;
  }

  std::deque<waiting_call> waiting_;
  std::map<std::string, object> objects_;
  /** Every change, oldest first, for watches. */
  std::vector<store_entry> changes_;
  std::uint64_t revision_ = 0;
  std::optional<std::uint64_t> era_;
  std::map<std::string, object> copy_;
  std::uint64_t copy_revision_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t writes_ = 0;
};

inline bool fake_object_store::HasChanges(const store_call& watch) const {
  for (const store_entry& change : changes_) {
    if (watch.expected < change.version && change.key.rfind(watch.key, 0) == 0) return true;
  }
  return false;
}

inline store_answer fake_object_store::List(const store_call& call) const {
  store_answer answer;
  answer.outcome = store_outcome::kDone;
  answer.version = object_version(revision_);
  for (const auto& [key, value] : objects_) {
    if (key.rfind(call.key, 0) == 0) answer.entries.push_back({key, value.version, false});
  }
  return answer;
}

inline store_answer fake_object_store::Write(const store_call& call) {
  store_answer answer;
  const auto found = objects_.find(call.key);
  const object_version present = found == objects_.end() ? object_version() : found->second.version;
  if (present != call.expected) {
    answer.outcome = present ? store_outcome::kConflict : store_outcome::kMissing;
    answer.version = present;
    return answer;
  }
  const object_version next(++revision_);
  const bool removal = call.operation == store_operation::kRemove;
  if (removal) {
    objects_.erase(found);
  } else {
    objects_[call.key] = {call.value, next};
  }
  changes_.push_back({call.key, next, removal});
  answer.outcome = store_outcome::kDone;
  answer.version = next;
  return answer;
}

inline store_answer fake_object_store::ApplyToObjects(const store_call& call) {
  store_answer answer;
  switch (call.operation) {
    case store_operation::kGet: {
      const auto found = objects_.find(call.key);
      if (found == objects_.end()) {
        answer.outcome = store_outcome::kMissing;
        return answer;
      }
      answer.outcome = store_outcome::kDone;
      answer.value = found->second.value;
      answer.version = found->second.version;
      return answer;
    }
    case store_operation::kCreate: {
      store_call create = call;
      create.expected = object_version();
      return Write(create);
    }
    case store_operation::kUpdate:
    case store_operation::kRemove:
      if (!call.expected) {
        answer.outcome = store_outcome::kConflict;
        return answer;
      }
      return Write(call);
    case store_operation::kList:
      return List(call);
    case store_operation::kWatch:
      answer.outcome = store_outcome::kDone;
      answer.version = object_version(revision_);
      for (const store_entry& change : changes_) {
        if (call.expected < change.version && change.key.rfind(call.key, 0) == 0) {
          answer.entries.push_back(change);
        }
      }
      return answer;
  }
  return answer;
}

/**
 * One daemon's client of a shared fake store.
 */
class fake_store_client : public object_store {
 public:
  fake_store_client(fake_object_store& store, int client) : store_(store), client_(client) {}

  store_call_id Submit(store_call call, store_listener& listener) override {
    return store_.Enqueue(client_, std::move(call), listener);
  }

 private:
  fake_object_store& store_;
  int client_;
};

}  // namespace hawthorndrum
