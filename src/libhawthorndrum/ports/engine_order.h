/// Orders to engines and the engines' answers.
#pragma once

#include <string>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

enum class engine_role { kMixed, kPrefill, kDecode };

enum class order_kind { kSetRole, kLoadModel, kUnloadModel, kLoadAdapter };

/**
 * One order. `role` belongs to kSetRole; `model`, `version` and `adapter` to the others. `term` is
 * its fencing number. The port first connects, then checks the clock, and then writes: at or after
 * `send_by` it answers kNotSent instead. It never reconnects for the same call, so that an order
 * written after a pause can't reach a later run of the engine.
 */
struct engine_order {
  order_id id;
  lease_term term;
  upstream_id engine;
  order_kind kind = order_kind::kSetRole;
  engine_role role = engine_role::kMixed;
  std::string model;
  std::string version;
  std::string adapter;
  time_point send_by;
  /** The name of the intended run of the engine, where engines check it. */
  std::string engine_name;
};

/** kBusy: another order runs. kStaleTerm: the engine has seen a higher term. */
enum class order_outcome { kAccepted, kStaleTerm, kBusy, kNotSent, kUnknown };

struct order_answer {
  order_id id;
  order_outcome outcome = order_outcome::kUnknown;
  /** The engine's highest term, for kStaleTerm. */
  lease_term seen_term;
};

}  // namespace hawthorndrum
