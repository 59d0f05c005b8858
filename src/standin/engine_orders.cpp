/// Order handling, load report and statistics of the engine stand-in.
#include <algorithm>

#include "base/role_names.h"
#include "engine_standin.h"

namespace hawthorndrum {

namespace {

/** Share of its rate that an engine keeps for work outside its role. */
constexpr double kOffRoleShare = 0.25;

}  // namespace

void engine_standin::HandleOrder(standin_reply reply, const http_request& message) {
  const auto order = nlohmann::json::parse(message.body, nullptr, false);
  if (!order.is_object()) return reply.Answer(400, "{}");
  const std::uint64_t term = order.value("term", std::uint64_t{0});
  const std::string id = order.value("order", "");
  if (term < highest_term_ && options_.checks_fencing) {
    return reply.Answer(409, nlohmann::json{{"term", highest_term_}}.dump());
  }
  if (id == last_order_) return reply.Answer(202, "{}");
  if (term < highest_term_) stale_orders_taken_ += 1;
  if (state_ == engine_state::kChanging) {
    conflicting_orders_ += 1;
    return reply.Answer(423, "{}");
  }
  highest_term_ = std::max(highest_term_, term);
  last_order_ = id;
  order_state_ = "running";
  orders_ += 1;
  ExecuteOrder(order);
  reply.Answer(202, "{}");
}

void engine_standin::ExecuteOrder(const nlohmann::json& order) {
  state_ = engine_state::kChanging;
  const std::string kind = order.value("kind", "");
  if (kind == "set_role") {
    // A role change takes the engine out of service at once and cuts all its streams.
    std::vector<std::uint64_t> cut;
    for (const auto& [id, present] : streams_) cut.push_back(id);
    for (const std::uint64_t id : cut) CutStream(id);
  }
  After(options_.order_time, [this, order, kind] {
    const std::string model = order.value("model", "");
    const std::string version = order.value("version", "");
    const auto loaded = std::find_if(
        options_.models.begin(), options_.models.end(),
        [&](const loaded_model& m) { return m.name == model && m.version == version; });
    const bool present = loaded != options_.models.end();
    if (kind == "set_role") options_.role = RoleOf(order.value("role", ""));
    if (kind == "load_model" && !present) options_.models.push_back({model, version, {}});
    if (kind == "unload_model" && present) options_.models.erase(loaded);
    if (kind == "load_adapter" && present) loaded->adapters.push_back(order.value("adapter", ""));
    state_ = engine_state::kReady;
    order_state_ = "done";
  });
}

nlohmann::json engine_standin::Load() const {
  nlohmann::json models = nlohmann::json::array();
  for (const loaded_model& model : options_.models) {
    models.push_back(
        {{"name", model.name}, {"version", model.version}, {"adapters", model.adapters}});
  }
  std::uint64_t queued_prefill = 0;
  for (const auto& [id, present] : streams_) {
    if (!present.running || present.text.empty()) queued_prefill += present.prefill_tokens;
  }
  return {{"incarnation", incarnation_},
          {"role", RoleName(options_.role)},
          {"state", StateName(state_)},
          {"models", models},
          {"running", running_},
          {"queued", waiting_.size()},
          {"queued_prefill_tokens", queued_prefill},
          {"prefill_tokens_per_second", PrefillRate()},
          {"decode_tokens_per_second", DecodeRate() * options_.streams},
          {"kv_used_bytes", cached_.size() << 20},
          {"kv_total_bytes", options_.kv_total_bytes},
          {"term", highest_term_},
          {"order", last_order_},
          {"order_state", order_state_}};
}

double engine_standin::PrefillRate() const {
  const double share = options_.role == engine_role::kDecode ? kOffRoleShare : 1.0;
  return options_.prefill_tokens_per_second * share;
}

double engine_standin::DecodeRate() const {
  const double share = options_.role == engine_role::kPrefill ? kOffRoleShare : 1.0;
  return options_.decode_tokens_per_second * share;
}

nlohmann::json engine_standin::Stats() const {
  return {{"completions", completions_},
          {"tokens", tokens_},
          {"running", running_},
          {"waiting", waiting_.size()},
          {"orders", orders_},
          {"conflicting_orders", conflicting_orders_},
          {"stale_orders_taken", stale_orders_taken_},
          {"cut_streams", cut_streams_},
          {"runs", runs_},
          {"role", RoleName(options_.role)},
          {"term", highest_term_}};
}

}  // namespace hawthorndrum
