/// The other daemons of the fleet and the addresses for their notices.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** The record that a daemon keeps in the store. */
struct daemon_record {
  /** The host's name. A replacement host has a different one. */
  std::string name;
  /** `ip:port` (UDP) at which the daemon receives notices. */
  std::string notices_address;
  std::string data_centre;
};

/**
 * Lists the daemons that the last read of the store returned. A crashed daemon's record stays in
 * the store, so the others send datagrams to its address until a daemon of that name starts again.
 */
class daemon_directory {
 public:
  explicit daemon_directory(std::string own_name) : own_name_(std::move(own_name)) {}

  /** Replaces the whole list; leaves out this daemon's own record. */
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
