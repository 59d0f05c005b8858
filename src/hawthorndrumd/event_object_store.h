/// Client of the platform's object API over HTTP; posts the answers as events.
#pragma once

#include <cstdint>
#include <string>

#include "ports/object_store.h"

namespace hawthorndrum {

class event_sink;
class buffered_calls;

/**
 * Makes one HTTP call for each store call and does not retry: retries belong to the store_client
 * that calls it.
 */
class event_object_store : public object_store {
 public:
  event_object_store(buffered_calls& calls, event_sink& events, std::string address)
      : calls_(calls), events_(events), address_(std::move(address)) {}

  store_call_id Submit(store_call call, store_listener& listener) override;

 private:
  buffered_calls& calls_;
  event_sink& events_;
  std::string address_;
  std::uint64_t last_id_ = 0;
};

}  // namespace hawthorndrum
