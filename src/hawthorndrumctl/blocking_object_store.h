/// The object store port over HTTP, for a program that does one thing at a time.
#pragma once

#include <deque>
#include <string>

#include "http_client.h"
#include "ports/object_store.h"

namespace hawthorndrum {

/**
 * Keeps submitted calls until Pump makes them one after the other.
 */
class blocking_object_store : public object_store {
 public:
  explicit blocking_object_store(http_endpoint endpoint) : endpoint_(std::move(endpoint)) {}

  store_call_id Submit(store_call call, store_listener& listener) override;

  /** Makes the next call and hands out its answer. Returns false when none waits. */
  bool Pump();

  /** Makes one call at once. */
  store_answer Call(const store_call& call);
  /** Why the last call had no answer; empty when it had one. */
  const std::string& last_problem() const { return last_problem_; }

 private:
  struct waiting_call {
    store_call_id id;
    store_call call;
    store_listener* listener = nullptr;
  };

  http_endpoint endpoint_;
  std::deque<waiting_call> waiting_;
  std::uint64_t last_id_ = 0;
  std::string last_problem_;
};

}  // namespace hawthorndrum
