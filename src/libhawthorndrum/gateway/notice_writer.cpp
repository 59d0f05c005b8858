/// Collects what this daemon knows of upstreams that other daemons should know.
#include "gateway/notice_writer.h"

#include <set>
#include <string>
#include <vector>

#include "gateway/cut_off_detector.h"
#include "gateway/demand_meter.h"
#include "gateway/engine_speeds.h"
#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"
#include "gateway/gateway_ports.h"
#include "gateway/statement_handler.h"

namespace hawthorndrum {

namespace {

/** Notices report no work for upstreams that run nothing here and were silent for longer. */
constexpr duration kMaxReportedSilence = seconds(1);
/**
 * How long a notice makes other daemons avoid a leaving upstream; their own host lists show it by
 * then, and later notices repeat it.
 */
constexpr duration kLeavingAvoidance = milliseconds(500);
/** How long other daemons avoid an unreachable upstream while they probe it themselves. */
constexpr duration kUnreachableAvoidance = milliseconds(300);

const std::vector<gateway_service>& ServicesOf(const gateway_config* config) {
  static const std::vector<gateway_service> kNone;
  return config == nullptr ? kNone : config->services;
}

}  // namespace

notice_writer::notice_writer(const gateway_ports& ports, fleet_table& fleet,
                             const cut_off_detector& cut_off, const statement_handler& statements,
                             const demand_meter& demand, const engine_speeds& speeds)
    : ports_(ports),
      fleet_(fleet),
      cut_off_(cut_off),
      statements_(statements),
      demand_(demand),
      speeds_(speeds) {}

load_notice notice_writer::Write(const gateway_config* config, time_point now) {
  load_notice notice;
  notice.sender = ports_.incarnation;
  notice.sequence = ++written_;
  notice.host = ports_.host;
  notice.data_centre = ports_.data_centre;
  notice.config_version = config == nullptr ? 0 : config->version;
  // A host that is cut off knows nothing of upstreams that others may reach.
  std::set<std::string> unknown;
  for (const gateway_service& service : ServicesOf(config)) {
    if (cut_off_.IsCutOff(service.name) && cut_off_.PeersMayReach(service.name, now))
      unknown.insert(service.name);
  }
  fleet_.ForEach([&](fleet_upstream& row) {
    const duration ago = now - row.last_active_at;
    if (row.own.running > 0 || ago < kMaxReportedSilence)
      notice.work.push_back({row.id, row.own, ago});
    statements_.ReportLimits(notice, row, now);
    if (row.changes_until > now) {
      notice.avoided.push_back({row.id, row.changes_until - now, avoidance_reason::kChangingStage});
    } else if (!row.takes_work(now)) {
      notice.avoided.push_back({row.id, kLeavingAvoidance, avoidance_reason::kLeaving});
    } else if (unknown.count(row.entry.service) > 0) {
      return;
    } else if (row.reachability.is_lost) {
      notice.avoided.push_back({row.id, kUnreachableAvoidance, avoidance_reason::kLost});
    } else if (row.failures > 0 && row.avoid_until > now) {
      notice.avoided.push_back({row.id, row.avoid_until - now, avoidance_reason::kFailing});
    } else if (statement_handler::IsNewsForPeers(row.said, now)) {
      notice.avoided.push_back({row.id, *row.said.next_call - now, avoidance_reason::kWantsTime});
    }
  });
  notice.demand = demand_.Report(now);
  for (reported_demand& each : notice.demand) {
    each.speed_count = static_cast<std::uint64_t>(speeds_.Confidence(each.service));
    each.speed_sum = static_cast<std::uint64_t>(speeds_.PrefillTokensPerMs(each.service) * 1000) *
                     each.speed_count;
  }
  return notice;
}

}  // namespace hawthorndrum
