/// The port to the platform's object store, and the listener for its answers.
#pragma once

#include "ports/store_call.h"

namespace hawthorndrum {

/**
 * Receives the answers to submitted calls. Never called from within Submit.
 */
class store_listener {
 public:
  virtual ~store_listener() = default;
  virtual void OnStoreAnswer(store_call_id id, const store_answer& answer) = 0;
};

/**
 * Submits calls; each gets exactly one answer, at the latest after its timeout.
 * The listener must outlive the call.
 */
class object_store {
 public:
  virtual ~object_store() = default;
  virtual store_call_id Submit(store_call call, store_listener& listener) = 0;
};

}  // namespace hawthorndrum
