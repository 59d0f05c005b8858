/// Builds the systems of one daemon and wires them together.
#include "core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "admin_endpoint.h"
#include "base/hash.h"
#include "http_lookup_port.h"
#include "ports/model_catalogue.h"
#include "state_log.h"
#include "systems/authority.h"
#include "systems/claim_admin.h"
#include "systems/claim_system_builder.h"
#include "systems/config_system_builder.h"
#include "systems/demand_system.h"
#include "systems/peer_group_builder.h"
#include "systems/request_system_builder.h"
#include "systems/store_client.h"
#include "systems/tick_loop.h"
#include "tables/daemon_settings.h"
#include "thread_cpu_clock.h"

namespace hawthorndrum {

namespace {

daemon_identity IdentityOf(const daemon_settings& settings, incarnation_id self) {
  daemon_identity identity;
  identity.id = PeerIdOf(settings.peers_address);
  identity.incarnation = self;
  identity.address = settings.peers_address;
  identity.data_centre = settings.data_centre;
  identity.region = settings.region;
  return identity;
}

lease_timing LeaseTiming(const daemon_settings& settings) {
  lease_timing timing;
  timing.length = settings.lease_duration;
  timing.margin = settings.lease_duration / 10;
  return timing;
}

role_settings RoleSettings(const daemon_settings& settings) {
  role_settings roles;
  roles.prices.role_change_price *= settings.role_change_price;
  return roles;
}

/** Daemons spill requests to each other over plain HTTP only, so TLS for callers disables spill. */
spill_settings SpillSettings(const daemon_settings& settings) {
  if (settings.callers_tls.enabled()) return {};
  const std::string& address = settings.callers_address;
  crossing_terms crossing;
  crossing.ms_per_megabyte = settings.ms_per_megabyte;
  return {settings.peer_key, address.substr(address.rfind(':') + 1), crossing};
}

/** Lists the models of the configuration in force. */
class config_catalogue : public model_catalogue {
 public:
  explicit config_catalogue(const config_system& config) : config_(config) {}

  generation current() const override { return config_.current(); }
  std::vector<model_use> Models() const override;

 private:
  const config_system& config_;
};

std::vector<model_use> config_catalogue::Models() const {
  std::vector<model_use> models;
  for (const auto& leaf : config_.tree().leaves) {
    if (!leaf) continue;
    for (const auto& service : leaf->services) {
      if (service->kind != service_kind::kModel) continue;
      if (std::find(models.begin(), models.end(), service->model) != models.end()) continue;
      models.push_back(service->model);
    }
  }
  return models;
}

/** Delivers the answers of lookups at a fixed position in the tick. */
class lookup_delivery_system : public system {
 public:
  explicit lookup_delivery_system(http_lookup_port& port) : port_(port) {}
  void Run(time_point) override { port_.DeliverAnswers(); }

 private:
  http_lookup_port& port_;
};

}  // namespace

/**
 * Members are constructed from top to bottom; each refers only to those declared above it.
 */
struct core::parts {
  parts(const daemon_settings& settings, incarnation_id self, const core_ports& ports);

  void Register();
  void Handle(request_arrived& arrived) {
    requests->OnRequest(arrived.request, std::move(arrived.message));
  }
  void Handle(caller_gone& gone) { requests->OnCallerGone(gone.request); }
  void Handle(attempt_head& head) { requests->OnAttemptHead(head); }
  void Handle(attempt_bytes& bytes) { requests->OnAttemptBytes(bytes); }
  void Handle(attempt_finished& finished) { requests->OnAttemptFinished(finished); }
  void Handle(attempt_lost& lost) { requests->OnAttemptLost(lost); }
  void Handle(store_answered& answered) {
    answered.listener->OnStoreAnswer(answered.call, answered.answer);
  }
  void Handle(order_answered& answered) { answered.listener->OnOrderAnswer(answered.answer); }
  void Handle(load_reported& reported) { group->OnLoadReport(reported.report); }
  /** Only the gateway probes connections, so a daemon ignores the event. */
  void Handle(duty_answered&) {}
  void Handle(attempt_connected&) {}
  void Handle(probe_ended&) {}
  void Handle(load_failed& failed) { group->OnLoadFailed(failed.upstream); }
  void Handle(hosts_listed& listed);

  const clock& time;
  upstream_table upstreams;
  store_client store;
  thread_cpu_clock cpu;
  std::unique_ptr<peer_group> group;
  std::unique_ptr<config_system> config;
  config_catalogue catalogue;
  demand_system demand;
  http_lookup_port lookups;
  lookup_delivery_system lookup_delivery;
  std::unique_ptr<claim_system> claims;
  claim_admin claims_section;
  authority orders;
  std::unique_ptr<request_system> requests;
  state_log log;
};

core::parts::parts(const daemon_settings& settings, incarnation_id self, const core_ports& ports)
    : time(ports.time),
      store(ports.store, ports.time, ports.random, ports.metrics),
      group(peer_group_builder()
                .Self(IdentityOf(settings, self))
                .Key(settings.peer_key)
                .Seeds(settings.seed_peers)
                .Transport(ports.links)
                .Engines(ports.engines)
                .Upstreams(upstreams)
                .Clock(ports.time)
                .CpuClock(cpu)
                .Random(ports.random)
                .Metrics(ports.metrics)
                .Build()),
      config(config_system_builder()
                 .Store(store)
                 .Peers(group->router())
                 .Clock(ports.time)
                 .Random(ports.random)
                 .Metrics(ports.metrics)
                 .Address(settings.peers_address)
                 .DataCentre(settings.data_centre)
                 .Build()),
      catalogue(*config),
      demand(catalogue, group->router(), ports.time, ports.metrics),
      lookups(ports.calls, *config, upstreams, ports.random),
      lookup_delivery(lookups),
      claims(claim_system_builder(store, group->router(), ports.time, ports.random, ports.metrics)
                 .Incarnation(self)
                 .Lookup(lookups)
                 .Build()),
      claims_section(*claims),
      orders(authority_builder(store, ports.engines, group->router(), upstreams, ports.time,
                               ports.random, ports.metrics, demand)
                 .DataCentre(settings.data_centre)
                 .Incarnation(self)
                 .Timing(LeaseTiming(settings))
                 .Roles(RoleSettings(settings))
                 .Build()),
      requests(request_system_builder()
                   .Upstreams(upstreams)
                   .Config(*config)
                   .Claims(*claims)
                   .Upstream(ports.upstreams)
                   .Callers(ports.callers)
                   .Clock(ports.time)
                   .Random(ports.random)
                   .Traces(ports.traces)
                   .Metrics(ports.metrics)
                   .Peers(group->router())
                   .Demand(demand)
                   .DataCentre(settings.data_centre)
                   .Incarnation(self)
                   .Spill(SpillSettings(settings))
                   .Build()),
      log(*config, *orders.lease, store, group->router()) {
  Register();
}

void core::parts::Register() {
  peer_router& router = group->router();
  router.Register(peer_topic::kDemand, demand);
  for (const peer_topic topic : {peer_topic::kConfigHead, peer_topic::kConfigRequest,
                                 peer_topic::kConfigPart, peer_topic::kStatus}) {
    router.Register(topic, *config);
  }
  for (const peer_topic topic :
       {peer_topic::kClaimForward, peer_topic::kClaimQuery, peer_topic::kClaimReply}) {
    router.Register(topic, *claims);
  }
  router.Register(peer_topic::kSuspect, *requests);
  router.Register(peer_topic::kSuspectLock, *requests);
  router.Register(peer_topic::kLeaseHolder, *orders.lease);
  router.Register(peer_topic::kPlannedChanges, *orders.marks);
  router.Register(peer_topic::kPlannedChangesSeen, *orders.marks);
  router.Register(peer_topic::kAuthorityLost, *orders.orders);
  router.Register(peer_topic::kAuthorityQuery, *orders.orders);
}

void core::parts::Handle(hosts_listed& listed) {
  group->OnHostList(listed.hosts);
  requests->OnHostList(listed.hosts);
  orders.orders->OnHostList(listed.hosts, time.Now());
}

core::core(const daemon_settings& settings, incarnation_id self, const core_ports& ports)
    : parts_(std::make_unique<parts>(settings, self, ports)) {}

core::~core() = default;

void core::AddSystems(tick_loop& loop) {
  loop.Add(parts_->store);
  loop.Add(*parts_->group);
  loop.Add(*parts_->config);
  loop.Add(parts_->demand);
  loop.Add(*parts_->orders.lease);
  loop.Add(*parts_->orders.marks);
  loop.Add(*parts_->orders.orders);
  loop.Add(*parts_->orders.roles);
  loop.Add(parts_->lookup_delivery);
  loop.Add(*parts_->claims);
  loop.Add(*parts_->requests);
  loop.Add(parts_->log);
}

void core::AddSections(admin_endpoint& endpoint) {
  for (admin_section* section : parts_->group->sections()) endpoint.Add(*section);
  endpoint.Add(*parts_->config);
  endpoint.Add(parts_->claims_section);
  endpoint.Add(*parts_->orders.lease);
  endpoint.Add(*parts_->orders.orders);
  endpoint.Add(*parts_->orders.roles);
  endpoint.Add(parts_->requests->why());
  endpoint.Add(parts_->requests->poison());
}

void core::Receive(event new_event) {
  std::visit([this](auto& concrete_event) { parts_->Handle(concrete_event); }, new_event);
}

peer_transport_listener& core::peer_listener() { return *parts_->group; }

void core::BeginStop() {
  parts_->requests->BeginStop();
  parts_->orders.lease->Stop();
}

bool core::is_ready() const {
  return parts_->config->current() != generation() && parts_->requests->is_settled();
}

std::size_t core::in_flight() const { return parts_->requests->in_flight(); }

}  // namespace hawthorndrum
