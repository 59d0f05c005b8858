/// The message in which daemons report their callers' demand to each other.
#pragma once

#include <optional>
#include <vector>

#include "ports/peer_message.h"
#include "systems/demand_source.h"

namespace hawthorndrum {

/** The demand that one daemon observes; floors are not sent. */
struct demand_message {
  std::vector<model_demand> models;
};

peer_message EncodeDemand(const demand_message& message);

/** Returns nothing if the message is malformed. */
std::optional<demand_message> DecodeDemand(const peer_message& message);

}  // namespace hawthorndrum
