/// Control calls to the engines over HTTP: sends orders and polls load reports.
#pragma once

#include "ports/engine_port.h"

namespace hawthorndrum {

class clock;
class event_sink;
class buffered_calls;

class http_engine_port : public engine_port {
 public:
  http_engine_port(buffered_calls& calls, event_sink& events, const clock& time)
      : calls_(calls), events_(events), clock_(time) {}

  void Order(std::string_view address, const engine_order& order,
             order_listener& listener) override;
  void PollLoad(upstream_id upstream, std::string_view address) override;

 private:
  buffered_calls& calls_;
  event_sink& events_;
  const clock& clock_;
};

}  // namespace hawthorndrum
