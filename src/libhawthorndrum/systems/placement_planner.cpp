/// Floors, shortages and spare engines of the models.
#include "systems/placement_planner.h"

#include <algorithm>

namespace hawthorndrum {
namespace {

std::string KeyOf(const std::string& name, const std::string& version) {
  return name + "@" + version;
}

const loaded_model* FindModel(const placed_engine& engine, const std::string& name,
                              const std::string& version) {
  for (const loaded_model& model : engine.models) {
    if (model.name == name && model.version == version) return &model;
  }
  return nullptr;
}

bool HasAdapter(const loaded_model& model, const std::string& adapter) {
  return std::find(model.adapters.begin(), model.adapters.end(), adapter) != model.adapters.end();
}

}  // namespace

std::vector<placement_planner::model_need> placement_planner::Needs(spans engines,
                                                                    demands demand) const {
  std::vector<model_need> needs;
  for (const model_demand& entry : demand) {
    auto found = std::find_if(needs.begin(), needs.end(), [&](const model_need& need) {
      return need.name == entry.model.name && need.version == entry.model.version;
    });
    if (found == needs.end()) {
      needs.push_back({entry.model.name, entry.model.version, 0, 0, 0, 0});
      found = needs.end() - 1;
    }
    found->work += entry.prefill_tokens_per_second / prices_.prefill_rate +
                   entry.decode_tokens_per_second / prices_.decode_rate;
    found->floor = std::max(found->floor, entry.floor);
  }
  for (const placed_engine& engine : engines) {
    if (!engine.ready) continue;
    std::vector<model_need*> loaded;
    for (model_need& need : needs) {
      if (FindModel(engine, need.name, need.version) != nullptr) loaded.push_back(&need);
    }
    for (model_need* need : loaded) {
      need->ready += 1;
      need->share += 1.0 / static_cast<double>(loaded.size());
    }
  }
  return needs;
}

void placement_planner::Observe(spans engines, demands demand, duration elapsed) {
  std::map<std::string, double> next;
  for (const model_need& need : Needs(engines, demand)) {
    const std::string key = KeyOf(need.name, need.version);
    const double shortage = need.work - need.share;
    const auto before = shortage_.find(key);
    const double sum =
        (before == shortage_.end() ? 0 : before->second) + shortage * ToSeconds(elapsed);
    next[key] = std::clamp(sum, 0.0, 2 * prices_.load_price);
  }
  shortage_ = std::move(next);
}

std::optional<order_request> placement_planner::Next(spans engines, demands demand) const {
  const std::vector<model_need> needs = Needs(engines, demand);
  for (const model_need& need : needs) {
    if (need.ready >= need.floor) continue;
    if (auto request = LoadModel(engines, needs, need, true)) return request;
  }
  if (auto request = LoadAdapter(engines, demand)) return request;
  const model_need* worst = nullptr;
  double worst_shortage = prices_.load_price;
  for (const model_need& need : needs) {
    const auto shortage = shortage_.find(KeyOf(need.name, need.version));
    if (shortage == shortage_.end() || shortage->second < worst_shortage) continue;
    worst = &need;
    worst_shortage = shortage->second;
  }
  if (worst != nullptr) {
    if (auto request = LoadModel(engines, needs, *worst, false)) return request;
  }
  return UnloadUnneeded(engines, needs);
}

bool placement_planner::CanSpare(const placed_engine& engine, const std::vector<model_need>& needs,
                                 bool below_floor) const {
  if (!engine.available) return false;
  for (const model_need& need : needs) {
    if (FindModel(engine, need.name, need.version) == nullptr) continue;
    const std::size_t left = need.ready - (engine.ready ? 1 : 0);
    if (left < need.floor) return false;
    const double capacity = (need.share - (engine.ready ? 1 : 0)) * (1 - prices_.spare_share);
    if (!below_floor && need.work > capacity) return false;
  }
  return true;
}

std::optional<order_request> placement_planner::LoadModel(spans engines,
                                                          const std::vector<model_need>& needs,
                                                          const model_need& need,
                                                          bool below_floor) const {
  const placed_engine* best = nullptr;
  for (const placed_engine& engine : engines) {
    if (FindModel(engine, need.name, need.version) != nullptr) continue;
    if (!CanSpare(engine, needs, below_floor)) continue;
    const bool better =
        best == nullptr || engine.models.size() < best->models.size() ||
        (engine.models.size() == best->models.size() && engine.running < best->running);
    if (better) best = &engine;
  }
  if (best == nullptr) return std::nullopt;
  order_request request;
  request.engine = best->id;
  request.kind = order_kind::kLoadModel;
  request.model = need.name;
  request.version = need.version;
  return request;
}

std::optional<order_request> placement_planner::LoadAdapter(spans engines, demands demand) const {
  for (const model_demand& entry : demand) {
    if (entry.model.adapter.empty()) continue;
    std::size_t ready = 0;
    const placed_engine* candidate = nullptr;
    for (const placed_engine& engine : engines) {
      const loaded_model* model = FindModel(engine, entry.model.name, entry.model.version);
      if (model == nullptr) continue;
      if (HasAdapter(*model, entry.model.adapter)) {
        ready += engine.ready ? 1 : 0;
      } else if (engine.available &&
                 (candidate == nullptr || engine.running < candidate->running)) {
        candidate = &engine;
      }
    }
    if (ready >= std::max<std::uint32_t>(entry.floor, 1) || candidate == nullptr) continue;
    order_request request;
    request.engine = candidate->id;
    request.kind = order_kind::kLoadAdapter;
    request.model = entry.model.name;
    request.version = entry.model.version;
    request.adapter = entry.model.adapter;
    return request;
  }
  return std::nullopt;
}

std::optional<order_request> placement_planner::UnloadUnneeded(
    spans engines, const std::vector<model_need>& needs) const {
  // Unloads a model that no service needs from an engine that has other models loaded as well.
  for (const placed_engine& engine : engines) {
    if (engine.models.size() < 2 || !CanSpare(engine, needs, true)) continue;
    for (const loaded_model& model : engine.models) {
      const bool needed = std::any_of(needs.begin(), needs.end(), [&](const model_need& need) {
        return need.name == model.name && need.version == model.version;
      });
      if (needed) continue;
      order_request request;
      request.engine = engine.id;
      request.kind = order_kind::kUnloadModel;
      request.model = model.name;
      request.version = model.version;
      return request;
    }
  }
  return std::nullopt;
}

}  // namespace hawthorndrum
