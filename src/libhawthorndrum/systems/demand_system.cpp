/// Measures, exchanges and sums the demand of a data centre.
#include "systems/demand_system.h"

#include <algorithm>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/model_catalogue.h"

namespace hawthorndrum {

namespace {

constexpr duration kSendInterval = seconds(2);
constexpr duration kReportValidity = seconds(10);
constexpr std::size_t kMaxModels = 64;
constexpr std::uint32_t kReadyFloor = 1;

void AddDemand(std::vector<model_demand>& total, const model_demand& added) {
  const auto found = std::find_if(total.begin(), total.end(), [&](const model_demand& present) {
    return present.model == added.model;
  });
  if (found == total.end()) return;
  found->prefill_tokens_per_second += added.prefill_tokens_per_second;
  found->decode_tokens_per_second += added.decode_tokens_per_second;
}

}  // namespace

demand_system::demand_system(const model_catalogue& catalogue, peer_port& peers, const clock& time,
                             metrics_registry& metrics)
    : catalogue_(catalogue),
      peers_(peers),
      clock_(time),
      malformed_(metrics.Counter("demand_messages_malformed_total")) {}

void demand_system::OnModelRequest(const model_use& model, std::uint64_t prompt_tokens,
                                   std::uint64_t output_tokens) {
  observed_model& observed = Observed(model);
  const time_point now = clock_.Now();
  observed.prefill.Add(static_cast<double>(prompt_tokens), now);
  observed.decode.Add(static_cast<double>(output_tokens), now);
}

demand_system::observed_model& demand_system::Observed(const model_use& model) {
  for (observed_model& present : observed_) {
    if (present.model == model) return present;
  }
  // Evicts the model that was observed first to make room for the new one.
  if (observed_.size() >= kMaxModels) observed_.erase(observed_.begin());
  observed_.push_back({model, demand_rate(), demand_rate()});
  return observed_.back();
}

void demand_system::OnPeerMessage(peer_id from, const peer_message& message) {
  if (message.topic != peer_topic::kDemand) return;
  auto decoded = DecodeDemand(message);
  if (!decoded) return malformed_.Add();
  peer_demand_[from] = {std::move(*decoded), clock_.Now()};
}

void demand_system::Run(time_point now) {
  if (now < next_send_) return;
  next_send_ = now + kSendInterval;
  for (auto it = peer_demand_.begin(); it != peer_demand_.end();) {
    it = now - it->second.received_at > kReportValidity ? peer_demand_.erase(it) : std::next(it);
  }
  const demand_message own = OwnDemand(now);
  if (own.models.empty()) return;
  const peer_message message = EncodeDemand(own);
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre && peer.linked) peers_.Send(peer.id, message);
  }
}

demand_message demand_system::OwnDemand(time_point now) const {
  demand_message own;
  for (const observed_model& observed : observed_) {
    model_demand demand;
    demand.model = observed.model;
    demand.prefill_tokens_per_second = observed.prefill.PerSecond(now);
    demand.decode_tokens_per_second = observed.decode.PerSecond(now);
    // Demand that has decayed below one token a second is not sent.
    if (demand.prefill_tokens_per_second + demand.decode_tokens_per_second < 1) continue;
    own.models.push_back(std::move(demand));
  }
  return own;
}

void demand_system::RefreshModels() const {
  if (models_generation_ == catalogue_.current()) return;
  models_generation_ = catalogue_.current();
  models_ = catalogue_.Models();
}

std::vector<model_demand> demand_system::Demand() const {
  RefreshModels();
  std::vector<model_demand> total;
  for (const model_use& model : models_) {
    model_demand demand;
    demand.model = model;
    demand.floor = kReadyFloor;
    total.push_back(std::move(demand));
  }
  for (const model_demand& demand : OwnDemand(clock_.Now()).models) AddDemand(total, demand);
  for (const auto& [peer, report] : peer_demand_) {
    for (const model_demand& demand : report.message.models) AddDemand(total, demand);
  }
  return total;
}

}  // namespace hawthorndrum
