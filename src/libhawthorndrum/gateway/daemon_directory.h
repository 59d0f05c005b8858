/// The other daemons: where their notices go.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** A daemon's record in the store. */
struct daemon_record {
  /** The host's name; a replaced host has another one. */
  std::string name;
  /** `ip:port` for notices, UDP. */
  std::string notices_address;
  std::string data_centre;
};

/**
 * Lists daemons by what the store said last. A record outlives a daemon that crashed, which costs
 * the others some datagrams until a daemon takes the name again.
 */
class daemon_directory {
 public:
  explicit daemon_directory(std::string own_name) : own_name_(std::move(own_name)) {}

  /** The whole list, in place of the one before. */
  void Replace(const std::vector<daemon_record>& records) {
    others_.clear();
    for (const daemon_record& record : records) {
      if (record.name != own_name_) others_.push_back(record);
    }
  }
  const std::vector<daemon_record>& others() const { return others_; }

 private:
  std::string own_name_;
  std::vector<daemon_record> others_;
};

}  // namespace hawthorndrum
