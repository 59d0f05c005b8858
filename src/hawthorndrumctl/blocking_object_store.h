/// The object store port over HTTP, for a single-threaded program that waits for each call.
#pragma once

#include <deque>
#include <string>

#include "http_client.h"
#include "ports/object_store.h"

namespace hawthorndrum {

/**
 * Queues submitted calls; Pump makes them one after the other.
 */
class blocking_object_store : public object_store {
 public:
  explicit blocking_object_store(http_endpoint endpoint) : endpoint_(std::move(endpoint)) {}

  store_call_id Submit(store_call call, store_listener& listener) override;

  /** Makes the next queued call and passes its answer to the listener; false if none is queued. */
  bool Pump();

  /** Makes a call immediately, ahead of the queued ones. */
  store_answer Call(const store_call& call);
  /** Why the last call failed; empty when it succeeded or the object was missing. */
  const std::string& last_problem() const { return last_problem_; }

 private:
  struct queued_call {
    store_call_id id;
    store_call call;
    store_listener* listener = nullptr;
  };

  http_endpoint endpoint_;
  std::deque<queued_call> queue_;
  std::uint64_t last_id_ = 0;
  std::string last_problem_;
};

}  // namespace hawthorndrum
