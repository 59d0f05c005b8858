/// A caller's request that has not been placed yet.
#pragma once

#include <optional>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/units.h"
#include "gateway/wire_dialect.h"
#include "relay/relay_terms.h"

namespace hawthorndrum {

struct arrived_request {
  request_id id;
  http_request request;
  caller_terms terms;
  time_point at;
  /** Set if another daemon passed it on. */
  std::optional<relay_terms> relayed{};
};

}  // namespace hawthorndrum
