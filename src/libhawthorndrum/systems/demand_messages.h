/// What daemons tell each other of the demand that they see.
#pragma once

#include <optional>
#include <vector>

#include "ports/peer_message.h"
#include "systems/demand_source.h"

namespace hawthorndrum {

/** The demand that one daemon sees; floors are not sent. */
struct demand_message {
  std::vector<model_demand> models;
};

peer_message EncodeDemand(const demand_message& message);

/** Nothing when the bytes are not a well-formed message. */
std::optional<demand_message> DecodeDemand(const peer_message& message);

}  // namespace hawthorndrum
