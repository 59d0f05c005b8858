/// Wires the systems of the group and accounts for their cost.
#include "systems/peer_group.h"

#include "systems/peer_group_builder.h"

namespace hawthorndrum {

peer_group::peer_group(const peer_group_builder& parts)
    : budget_(*parts.cpu_, *parts.metrics_),
      router_(parts.router_, *parts.transport_, *parts.clock_, *parts.random_, *parts.metrics_),
      membership_(parts.membership_, router_, *parts.clock_, *parts.random_, *parts.metrics_),
      listing_(parts.router_.self.data_centre, *parts.upstreams_, router_, *parts.clock_,
               *parts.metrics_),
      load_(*parts.upstreams_, router_, *parts.engines_, *parts.clock_, *parts.random_,
            *parts.metrics_),
      peers_section_(membership_, router_, *parts.clock_),
      upstreams_section_(listing_, load_, *parts.clock_) {
  router_.Register(peer_topic::kUpstreamLeaving, listing_);
  router_.Register(peer_topic::kLoadDelta, load_);
  budget_.AddMemory("links", [this] { return router_.MemoryBytes(); });
  budget_.AddMemory("peers", [this] { return membership_.MemoryBytes(); });
  budget_.AddMemory("upstreams", [this] { return listing_.MemoryBytes(); });
  budget_.AddMemory("load", [this] { return load_.MemoryBytes(); });
  metrics_registry& metrics = *parts.metrics_;
  for (const std::string_view direction : {"in", "out"}) {
    budget_.AddBytes(
        metrics.Counter("hawthorndrum_peer_bytes_total", MetricLabel("direction", direction)));
  }
  budget_.AddBytes(metrics.Counter("hawthorndrum_load_poll_bytes_total"));
}

void peer_group::OnHostList(boost::span<const host_entry> hosts) {
  const control_work work(budget_);
  membership_.OnHostList(hosts);
  listing_.OnHostList(hosts);
}

void peer_group::OnLoadReport(const load_report& report) {
  const control_work work(budget_);
  load_.OnLoadReport(report);
}

void peer_group::OnLoadFailed(upstream_id upstream) {
  const control_work work(budget_);
  load_.OnLoadFailed(upstream);
}

void peer_group::OnLinkUp(peer_link_id link, bool dialled) {
  const control_work work(budget_);
  router_.OnLinkUp(link, dialled);
}

void peer_group::OnLinkFrame(peer_link_id link, boost::span<const std::uint8_t> frame) {
  const control_work work(budget_);
  router_.OnLinkFrame(link, frame);
}

void peer_group::OnLinkDown(peer_link_id link) {
  const control_work work(budget_);
  router_.OnLinkDown(link);
}

void peer_group::Run(time_point now) {
  const control_work work(budget_);
  membership_.Run(now);
  listing_.Run(now);
  load_.Run(now);
  router_.Run(now);
  budget_.Run(now);
}

}  // namespace hawthorndrum
