/// The demand of a data centre: the requests of its daemons' callers for each model.
#pragma once

#include <unordered_map>
#include <vector>

#include "ports/demand_observer.h"
#include "ports/peer_port.h"
#include "systems/demand_messages.h"
#include "systems/demand_source.h"
#include "systems/system.h"
#include "tables/demand_rate.h"

namespace hawthorndrum {

class clock;
class counter;
class metrics_registry;
class model_catalogue;

/**
 * Measures the demand of this daemon's callers and sends it to the data centre's other daemons
 * every two seconds. The last report of a silent daemon counts for about ten seconds.
 */
class demand_system : public system,
                      public demand_source,
                      public demand_observer,
                      public peer_listener {
 public:
  demand_system(const model_catalogue& catalogue, peer_port& peers, const clock& time,
                metrics_registry& metrics);

  void OnModelRequest(const model_use& model, std::uint64_t prompt_tokens,
                      std::uint64_t output_tokens) override;
  /** Topic kDemand. */
  void OnPeerMessage(peer_id from, const peer_message& message) override;
  void Run(time_point now) override;

  /** Every model that a service needs, with the demand that daemons reported recently. */
  std::vector<model_demand> Demand() const override;

 private:
  struct observed_model {
    model_use model;
    demand_rate prefill;
    demand_rate decode;
  };
  struct peer_demand {
    demand_message message;
    time_point received_at;
  };

  observed_model& Observed(const model_use& model);
  demand_message OwnDemand(time_point now) const;
  void RefreshModels() const;

  const model_catalogue& catalogue_;
  peer_port& peers_;
  const clock& clock_;
  counter& malformed_;
  std::vector<observed_model> observed_;
  std::unordered_map<peer_id, peer_demand> peer_demand_;
  time_point next_send_;
  /** The catalogue's models, read again only when its generation changes. */
  mutable std::vector<model_use> models_;
  mutable generation models_generation_;
};

}  // namespace hawthorndrum
