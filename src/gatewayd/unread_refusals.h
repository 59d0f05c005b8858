/// Counts and logs requests that are refused before they are read.
#pragma once

#include <cstdint>
#include <string_view>

namespace hawthorndrum {

class byte_budget;
class counter;
class event_log;
class metrics_registry;

/** All arguments outlive it. */
class unread_refusals {
 public:
  unread_refusals(const byte_budget& budget, event_log& log, metrics_registry& metrics);

  /** `server` is the label of the server's metrics, `bytes` the request's size as far as known. */
  void Record(std::string_view server, std::uint64_t bytes);

 private:
  const byte_budget& budget_;
  event_log& log_;
  counter& refused_;
};

}  // namespace hawthorndrum
