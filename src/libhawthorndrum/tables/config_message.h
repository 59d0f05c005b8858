/// Peer messages about the configuration.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/content_digest.h"
#include "base/ids.h"

namespace hawthorndrum {

/** kConfigHead: the generation in force at the sender; 0 means none. */
struct config_announcement {
  generation number;
  content_digest head;
  std::string address;
  std::string data_centre;
};

/** kConfigRequest: asks the receiver for parts. */
struct config_request {
  std::vector<content_digest> parts;
};

/** kConfigPart: one part. `found` is false when the sender lacks it or is over its send budget. */
struct config_part_message {
  content_digest digest;
  bool found = false;
  std::string bytes;
};

/** A daemon whose generation is below the sender's. */
struct lagging_daemon {
  std::string address;
  generation number;

  friend bool operator==(const lagging_daemon& a, const lagging_daemon& b) {
    return a.address == b.address && a.number == b.number;
  }
};

/** kStatus: the generations in force in one data centre. */
struct config_status {
  std::string data_centre;
  std::uint32_t daemons = 0;
  generation lowest;
  /** The first few daemons whose generation is below the sender's. */
  std::vector<lagging_daemon> lagging;
  /** Whether a daemon of the receiver's data centre forwarded the message. */
  bool forwarded = false;

  friend bool operator==(const config_status& a, const config_status& b) {
    return a.data_centre == b.data_centre && a.daemons == b.daemons && a.lowest == b.lowest &&
           a.lagging == b.lagging;
  }
};

}  // namespace hawthorndrum
