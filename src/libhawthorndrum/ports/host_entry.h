/// An entry of the platform's host list.
#pragma once

#include <cstdint>
#include <string>

namespace hawthorndrum {

enum class host_kind { kEngine, kService, kDaemon };

/**
 * One host as the platform lists it; the list may be out of date. `address` is `ip:port`; for a
 * daemon, the port is the one for peers.
 */
struct host_entry {
  std::string address;
  host_kind kind = host_kind::kEngine;
  std::string pool;
  std::string data_centre;
  bool leaving = false;
  bool checks_fencing = true;
  std::uint64_t incarnation = 0;
};

}  // namespace hawthorndrum
