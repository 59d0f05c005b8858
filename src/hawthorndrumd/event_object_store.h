/// The platform's object API over HTTP, with answers as events.
#pragma once

#include <cstdint>
#include <string>

#include "ports/object_store.h"

namespace hawthorndrum {

class event_sink;
class whole_calls;

/**
 * One HTTP call for each store call, without retries: those belong to the store client in front.
 */
class event_object_store : public object_store {
 public:
  event_object_store(whole_calls& calls, event_sink& events, std::string address)
      : calls_(calls), events_(events), address_(std::move(address)) {}

  store_call_id Submit(store_call call, store_listener& listener) override;

 private:
  whole_calls& calls_;
  event_sink& events_;
  std::string address_;
  std::uint64_t last_id_ = 0;
};

}  // namespace hawthorndrum
