/// Writes the load notice that this daemon sends to the others.
#pragma once

#include <cstdint>

#include "base/units.h"
#include "gateway/load_notice.h"

namespace hawthorndrum {

class cut_off_detector;
class demand_meter;
class engine_speeds;
class fleet_table;
class gateway_config;
class statement_handler;
struct gateway_ports;

/** All arguments of the constructor outlive the writer. */
class notice_writer {
 public:
  notice_writer(const gateway_ports& ports, fleet_table& fleet, const cut_off_detector& cut_off,
                const statement_handler& statements, const demand_meter& demand,
                const engine_speeds& speeds);

  /** Returns the next notice, without the revision of the host list; config may be null. */
  load_notice Write(const gateway_config* config, time_point now);

 private:
  const gateway_ports& ports_;
  fleet_table& fleet_;
  const cut_off_detector& cut_off_;
  const statement_handler& statements_;
  const demand_meter& demand_;
  const engine_speeds& speeds_;
  std::uint64_t written_ = 0;
};

}  // namespace hawthorndrum
