/// Who a daemon is.
#pragma once

#include <string>

#include "base/ids.h"

namespace hawthorndrum {

/**
 * One run of a daemon: its peers' address, where it stands, and its incarnation. `id` is hashed
 * from `address`, so that a daemon that takes over an address differs by its incarnation only.
 */
struct daemon_identity {
  peer_id id;
  incarnation_id incarnation;
  std::string address;
  std::string data_centre;
  std::string region;
};

}  // namespace hawthorndrum
