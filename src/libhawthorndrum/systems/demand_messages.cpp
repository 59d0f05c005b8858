/// CBOR encoding of demand messages.
#include "systems/demand_messages.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/cbor.h"

namespace hawthorndrum {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxModels = 64;
constexpr std::size_t kLongestName = 256;
constexpr double kHighestRate = 1e9;
constexpr std::size_t kFields = 5;

bool ReadName(const json& field, std::string& name) {
  if (!field.is_string() || field.get_ref<const std::string&>().size() > kLongestName) return false;
  name = field.get<std::string>();
  return true;
}

bool ReadRate(const json& field, double& rate) {
  if (!field.is_number()) return false;
  rate = field.get<double>();
  return std::isfinite(rate) && rate >= 0 && rate <= kHighestRate;
}

bool ReadModel(const json& item, model_demand& demand) {
  if (!item.is_array() || item.size() != kFields) return false;
  return ReadName(item[0], demand.model.name) && ReadName(item[1], demand.model.version) &&
         ReadName(item[2], demand.model.adapter) &&
         ReadRate(item[3], demand.prefill_tokens_per_second) &&
         ReadRate(item[4], demand.decode_tokens_per_second);
}

}  // namespace

peer_message EncodeDemand(const demand_message& message) {
  json items = json::array();
  for (const model_demand& demand : message.models) {
    items.push_back({demand.model.name, demand.model.version, demand.model.adapter,
                     std::round(demand.prefill_tokens_per_second),
                     std::round(demand.decode_tokens_per_second)});
  }
  return {peer_topic::kDemand, EncodeCbor(items)};
}

std::optional<demand_message> DecodeDemand(const peer_message& message) {
  const auto items = DecodeCbor(message.body);
  if (!items || !items->is_array() || items->size() > kMaxModels) return std::nullopt;
  demand_message result;
  for (const json& item : *items) {
    model_demand demand;
    if (!ReadModel(item, demand)) return std::nullopt;
    result.models.push_back(std::move(demand));
  }
  return result;
}

}  // namespace hawthorndrum
