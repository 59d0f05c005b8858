/// Polls the platform's host list.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/units.h"
#include "ports/host_entry.h"

namespace hawthorndrum {

class event_sink;
class random_source;
class buffered_calls;

/** Returns the list without the entries that can't be read; nothing if the body is no list. */
std::optional<std::vector<host_entry>> ReadHostList(std::string_view body);

/**
 * Posts a hosts_listed event for each list that was read completely. Jitter spreads the polls of
 * different daemons over time.
 */
class host_list_reader {
 public:
  host_list_reader(boost::asio::io_context& io, buffered_calls& calls, event_sink& events,
                   random_source& random, std::string address);

  void Start();

 private:
  void Read();
  void ScheduleNextRead();

  boost::asio::steady_timer timer_;
  buffered_calls& calls_;
  event_sink& events_;
  random_source& random_;
  std::string address_;
};

}  // namespace hawthorndrum
