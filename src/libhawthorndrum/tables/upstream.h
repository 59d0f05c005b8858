/// A row of the upstream table: an engine or a plain service's worker.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "ports/host_entry.h"
#include "ports/load_report.h"

namespace hawthorndrum {

/** The sources that report an upstream as leaving. Any one of them stops new work. */
struct leaving_sources {
  bool host_list = false;
  bool engine = false;
  bool peer = false;
  bool operator_order = false;

  bool any() const { return host_list || engine || peer || operator_order; }
};

/**
 * One upstream. Written by: membership (address to leaving), load digest (report), dispatch (own
 * counts), order system (planned change), suspect lock (reservation).
 */
struct upstream {
  upstream_id id;
  std::string address;
  host_kind kind = host_kind::kEngine;
  std::string pool;
  std::string data_centre;
  bool checks_fencing = true;
  std::uint64_t host_incarnation = 0;
  leaving_sources leaving;
  /** Set while an open order takes the engine out of service; it gets no new work. */
  bool planned_change = false;
  /** Set while only a suspect request may run here. */
  bool reserved_for_suspect = false;

  load_report report;
  /** This daemon's estimate of when the engine sent the report. */
  time_point report_time;
  bool has_report = false;

  std::uint32_t own_in_flight = 0;
  std::uint64_t own_prefill_tokens = 0;
  /** Prefill tokens that this daemon sent after the report, for answers that have not begun. */
  std::uint64_t sent_since_report = 0;
  std::uint32_t failures_in_a_row = 0;
  time_point avoid_until;
  /** When an attempt of this daemon last failed here. */
  time_point last_failure;

  /** Whether new work may be sent here at all. */
  bool TakesWork() const {
    return !leaving.any() && !planned_change && report.state == engine_state::kReady;
  }
};

}  // namespace hawthorndrum
