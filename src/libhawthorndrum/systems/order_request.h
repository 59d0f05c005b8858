/// A planner's request for an order to an engine.
#pragma once

#include <string>

#include "base/ids.h"
#include "ports/engine_order.h"

namespace hawthorndrum {

/** An order without its id and fencing number. */
struct order_request {
  upstream_id engine;
  order_kind kind = order_kind::kSetRole;
  engine_role role = engine_role::kMixed;
  std::string model;
  std::string version;
  std::string adapter;
};

/** Whether the order takes the engine out of service, so that it must be drained first. */
constexpr bool NeedsDrain(order_kind kind) { return kind != order_kind::kLoadAdapter; }

}  // namespace hawthorndrum
