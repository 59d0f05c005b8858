/// The admin section of the configuration: report and verbs.
#include <nlohmann/json.hpp>

#include "systems/config_codec.h"
#include "systems/config_system.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

json StatusToJson(const config_status& status) {
  json lagging = json::array();
  for (const lagging_daemon& daemon : status.lagging) {
    lagging.push_back({{"address", daemon.address}, {"generation", daemon.number.value()}});
  }
  return json{{"data_centre", status.data_centre},
              {"daemons", status.daemons},
              {"lowest", status.lowest.value()},
              {"lagging", std::move(lagging)}};
}

json MetadataToJson(const publish_metadata& metadata) {
  return json{{"publish_id", metadata.publish_id},
              {"author", metadata.author},
              {"note", metadata.note},
              {"time", metadata.time},
              {"changes", metadata.changes},
              {"services", metadata.services}};
}

}  // namespace

expected<json> config_system::Report(std::string_view item) const {
  if (!item.empty()) {
    const std::shared_ptr<const service_config> service = Find(item);
    if (service == nullptr) {
      return tl::make_unexpected(error{error_code::kNotFound, "no such service is in force"});
    }
    const std::string stored = EncodeService(*service);
    return json{{"generation", current().value()}, {"service", json::parse(stored)}};
  }
  json data_centres = json::array();
  data_centres.push_back(StatusToJson(gossip_.OwnStatus()));
  for (const auto& [name, remote] : gossip_.remote()) {
    json entry = StatusToJson(remote.status);
    entry["heard_ms_ago"] = ToMilliseconds(now_ - remote.received_at);
    data_centres.push_back(std::move(entry));
  }
  return json{{"generation", current().value()},
              {"address", address_},
              {"data_centre", data_centre_},
              {"in_force_ms", current() ? ToMilliseconds(now_ - in_force_since_) : 0},
              {"services", tree_.CountServices()},
              {"published", MetadataToJson(tree_.head.published)},
              {"lowest", LowestKnown().value()},
              {"newest_heard", newest_known_.value()},
              {"fetching", target_.value()},
              {"parts_missing", assembler_.missing_count()},
              {"data_centres", std::move(data_centres)},
              {"store", {{"watching", watch_.watching()}, {"answering", watch_.answering()}}},
              {"refused",
               {{"lower_from_store", lower_from_store_.value()},
                {"lower_from_peer", lower_from_peer_.value()},
                {"conflicting_head", conflicting_.value()},
                {"malformed", malformed_.value()}}}};
}

expected<json> config_system::Act(std::string_view verb, const json& /*arguments*/) {
  if (verb != "reread") {
    return tl::make_unexpected(error{error_code::kNotFound, "the only verb is reread"});
  }
  watch_.ReadSoon();
  return json{{"generation", current().value()}};
}

}  // namespace hawthorndrum
