/// Decides when this daemon sends a notice, and to which daemons.
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
 * In each data centre the daemon whose name sorts first is the collector: the others send it their
 * notices, and it sends a digest of them to all daemons. The number of datagrams thus grows
 * linearly with the number of daemons. A collector whose digests do not arrive is skipped for a
 * while. Every daemon that receives notices sends a digest, so that no notice is lost while daemons
 * disagree about the collector.
 */
class notice_exchange {
 public:
  /** A collector whose last digest is older than this is skipped. */
  static constexpr duration kCollectorTimeout = milliseconds(800);
  /** How long a silent collector is skipped. */
  static constexpr duration kCollectorSkipTime = seconds(5);

  notice_exchange(gateway& served, const daemon_directory& daemons, std::string own_name,
                  std::string own_data_centre);

  /** Returns the notice to send now, if one is due. */
  std::optional<outgoing_notice> Run(time_point now);

 private:
  /** Returns the name of this data centre's collector. */
  std::string Collector(time_point now);
  duration Period() const;

  gateway& gateway_;
  const daemon_directory& daemons_;
  std::string own_name_;
  std::string own_data_centre_;
  std::map<std::string, time_point> skipped_until_;
  std::string collector_;
  time_point collector_since_;
  time_point next_send_;
};

}  // namespace hawthorndrum
