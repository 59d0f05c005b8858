/// Identity of a daemon.
#pragma once

#include <string>

#include "base/ids.h"

namespace hawthorndrum {

/**
 * Identifies one run of a daemon: its peer address, data centre, region and incarnation. `id` is
 * the hash of `address`, so a daemon that takes over an address has the same id and a different
 * incarnation.
 */
struct daemon_identity {
  peer_id id;
  incarnation_id incarnation;
  std::string address;
  std::string data_centre;
  std::string region;
};

}  // namespace hawthorndrum
