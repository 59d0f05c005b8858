/// The port to the engines' control interface: orders and load reports.
#pragma once

#include <string_view>

#include "ports/engine_order.h"

namespace hawthorndrum {

/**
 * Receives the answers to orders.
 */
class order_listener {
 public:
  virtual ~order_listener() = default;
  virtual void OnOrderAnswer(const order_answer& answer) = 0;
};

/**
 * Sends orders and requests load reports; reports arrive as load_report events.
 */
class engine_port {
 public:
  virtual ~engine_port() = default;
  virtual void Order(std::string_view address, const engine_order& order,
                     order_listener& listener) = 0;
  virtual void PollLoad(upstream_id upstream, std::string_view address) = 0;
};

}  // namespace hawthorndrum
