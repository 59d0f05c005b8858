/// Which notices go where.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/units.h"
#include "gateway/load_notice.h"

namespace hawthorndrum {

class daemon_directory;
class gateway;

struct outgoing_notice {
  load_notice notice;
  std::vector<std::string> addresses;
};

/**
 * In each data centre the first daemon by name collects the notices of the others and sends the sum
 * to all daemons, so that the number of datagrams grows with the daemons and not with their square.
 * A collector that is not heard from is passed over for a while. Whoever gets notices collects, so
 * that daemons that disagree about the collector are heard all the same.
 */
class notice_exchange {
 public:
  /** A collector that is silent for so long is passed over. */
  static constexpr duration kCollectorSilence = milliseconds(800);
  static constexpr duration kPassedOver = seconds(5);

  notice_exchange(gateway& served, const daemon_directory& daemons, std::string own_name,
                  std::string own_data_centre);

  /** The notices that are due. */
  std::optional<outgoing_notice> Run(time_point now);

 private:
  /** The name of the collector of this data centre. */
  std::string Collector(time_point now);
  duration Period() const;

  gateway& gateway_;
  const daemon_directory& daemons_;
  std::string own_name_;
  std::string own_data_centre_;
  std::map<std::string, time_point> passed_over_until_;
  std::string collector_;
  time_point collector_since_;
  time_point next_;
};

}  // namespace hawthorndrum
