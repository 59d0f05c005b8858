/// Messages about the configuration between daemons.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/content_digest.h"
#include "base/ids.h"

namespace hawthorndrum {

/** kConfigHead: what the sender has in force; a number of 0 means nothing. */
struct config_announcement {
  generation number;
  content_digest head;
  std::string address;
  std::string data_centre;
};

/** kConfigRequest: the sender wants these parts. */
struct config_request {
  std::vector<content_digest> parts;
};

/** kConfigPart: one part; without `found` the sender does not have it or is too busy. */
struct config_part_message {
  content_digest digest;
  bool found = false;
  std::string bytes;
};

/** A daemon that does not have the newest generation known to the sender. */
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
  /** The first few that have `lowest` or lag behind the sender. */
  std::vector<lagging_daemon> lagging;
  /** Whether the message has come through a daemon of the receiver's data centre. */
  bool forwarded = false;

  friend bool operator==(const config_status& a, const config_status& b) {
    return a.data_centre == b.data_centre && a.daemons == b.daemons && a.lowest == b.lowest &&
           a.lagging == b.lagging;
  }
};

}  // namespace hawthorndrum
