/// The demand of a data centre: what its daemons' callers ask of each model.
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
 * Measures what this daemon's callers ask for and tells the data centre's other daemons every two
 * seconds. What a silent daemon said last counts for ten seconds.
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

  /** Every model that a service needs, with the demand of all daemons heard lately. */
  std::vector<model_demand> Demand() const override;

 private:
  struct observed_model {
    model_use model;
    demand_rate prefill;
    demand_rate decode;
  };
  struct told_demand {
    demand_message message;
    time_point heard;
  };

  observed_model& Observed(const model_use& model);
  demand_message Own(time_point now) const;
  void RefreshModels() const;

  const model_catalogue& catalogue_;
  peer_port& peers_;
  const clock& clock_;
  counter& malformed_;
  std::vector<observed_model> observed_;
  std::unordered_map<peer_id, told_demand> told_;
  time_point next_tell_;
  /** The catalogue's models, read again only when its generation changes. */
  mutable std::vector<model_use> models_;
  mutable generation models_of_;
};

}  // namespace hawthorndrum
