/// The other daemons of the fleet and the addresses for their notices.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
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
 *
 * Invariant: departed_ holds the addresses that were dropped last, at most kMaxDeparted.
 */
class daemon_directory {
 public:
  explicit daemon_directory(std::string own_name) : own_name_(std::move(own_name)) {}

  /** Replaces the whole list with that asked for at `read_at`; leaves out this daemon's record. */
  void Replace(const std::vector<daemon_record>& records, time_point read_at = {}) {
    read_at_ = read_at;
    lists_this_ = false;
    std::vector<daemon_record> before = std::move(others_);
    others_.clear();
    for (const daemon_record& record : records) {
      if (record.name == own_name_) lists_this_ = true;
      if (record.name != own_name_) others_.push_back(record);
    }
    for (const daemon_record& each : before) {
      const bool is_listed =
          std::any_of(others_.begin(), others_.end(), [&](const daemon_record& other) {
            return other.notices_address == each.notices_address;
          });
      if (!is_listed) departed_.push_back(each.notices_address);
    }
    while (departed_.size() > kMaxDeparted) departed_.pop_front();
  }
  const std::vector<daemon_record>& others() const { return others_; }
  /** Returns whether the last list contains this daemon's record. */
  bool lists_this() const { return lists_this_; }
  /** Returns when the last list was asked for; none has been read before. */
  std::optional<time_point> read_at() const { return read_at_; }

  /**
   * Returns whether a daemon at that IP address is listed, or was: one that stops still serves, and
   * one that starts again is listed later.
   */
  bool IsKnownHost(std::string_view ip) const {
    const std::string host = std::string(ip) + ":";
    const auto is_at_host = [&](const std::string& address) {
      return address.compare(0, host.size(), host) == 0;
    };
    return std::any_of(departed_.begin(), departed_.end(), is_at_host) ||
           std::any_of(others_.begin(), others_.end(),
                       [&](const daemon_record& each) { return is_at_host(each.notices_address); });
  }
  /** Asks for the list to be read soon, since a daemon that is not in it has appeared. */
  void RequestRefresh() { refresh_requested_ = true; }
  bool TakeRefreshRequest() { return std::exchange(refresh_requested_, false); }

 private:
  static constexpr std::size_t kMaxDeparted = 512;

  std::string own_name_;
  std::vector<daemon_record> others_;
  bool lists_this_ = false;
  std::optional<time_point> read_at_;
  std::deque<std::string> departed_;
  bool refresh_requested_ = false;
};

}  // namespace hawthorndrum
