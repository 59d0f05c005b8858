/// The admin section of the order system: its reports and the operators' actions.
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/role_names.h"
#include "ports/clock.h"
#include "systems/order_system.h"

namespace hawthorndrum {
namespace {

const char* ToText(change_stage stage) {
  switch (stage) {
    case change_stage::kDraining:
      return "draining";
    case change_stage::kFirm:
      return "confirming";
    case change_stage::kCommitting:
      return "journalling";
    case change_stage::kReady:
      return "ready";
    case change_stage::kSent:
      return "sent";
    case change_stage::kEnded:
      return "ended";
  }
  return "unknown";
}

nlohmann::json OrderReport(const engine_order& order) {
  nlohmann::json report = {{"order", order.id.value()},
                           {"fencing", order.term.value()},
                           {"kind", OrderKindName(order.kind)}};
  if (order.kind == order_kind::kSetRole) {
    report["role"] = RoleName(order.role);
  } else {
    report["model"] = order.model;
    report["version"] = order.version;
    report["adapter"] = order.adapter;
  }
  return report;
}

expected<engine_role> ParseRole(const std::string& text) {
  for (const engine_role role :
       {engine_role::kMixed, engine_role::kPrefill, engine_role::kDecode}) {
    if (RoleName(role) == text) return role;
  }
  return tl::unexpected(error{error_code::kInvalid, "role must be mixed, prefill or decode"});
}

}  // namespace

nlohmann::json order_system::RowReport(const journal_row& row) const {
  nlohmann::json report = OrderReport(row.order);
  report["engine"] = row.address;
  report["open"] = row.open;
  const upstream* engine = upstreams_.Find(row.engine);
  report["held_back"] = engine != nullptr && IsHeldBack(row, *engine);
  report["copy_may_arrive"] = row.uncertain;
  nlohmann::json issuers = nlohmann::json::array();
  for (const order_issuer& issuer : row.issuers) {
    issuers.push_back({{"incarnation", issuer.incarnation.value()}, {"peer", issuer.peer.value()}});
  }
  report["issuers"] = issuers;
  return report;
}

expected<nlohmann::json> order_system::Report(std::string_view item) const {
  if (!item.empty()) {
    const auto found = journal_.rows.find(UpstreamIdOf(item));
    if (!sealed_ || found == journal_.rows.end()) {
      return tl::unexpected(error{error_code::kNotFound, "no order of that engine here"});
    }
    return RowReport(found->second);
  }
  nlohmann::json report = {{"data_centre", data_centre_},
                           {"acts_here", ready()},
                           {"holder", lease_.known_holder().value()},
                           {"journal_unreadable", unreadable_}};
  nlohmann::json changes = nlohmann::json::array();
  for (const auto& [engine, change] : changes_) {
    nlohmann::json entry = OrderReport(change.order);
    const upstream* row = upstreams_.Find(engine);
    entry["engine"] = row == nullptr ? "" : row->address;
    entry["stage"] = ToText(change.stage);
    entry["adopted"] = change.adopted;
    entry["seconds"] = ToSeconds(clock_.Now() - change.began);
    changes.push_back(entry);
  }
  report["changes"] = changes;
  nlohmann::json rows = nlohmann::json::array();
  if (sealed_) {
    for (const auto& [engine, row] : journal_.rows) rows.push_back(RowReport(row));
  }
  report["journal"] = rows;
  return report;
}

expected<nlohmann::json> order_system::Act(std::string_view verb, const nlohmann::json& arguments) {
  if (!ready()) {
    return tl::unexpected(error{error_code::kConflict, "ask the daemon that holds the lease"});
  }
  if (verb == "release") return Release(arguments);
  if (verb == "set_role") return SetRole(arguments);
  return tl::unexpected(error{error_code::kNotFound, "no such verb"});
}

expected<upstream_id> order_system::EngineOf(const nlohmann::json& arguments) const {
  const auto field = arguments.is_object() ? arguments.find("engine") : arguments.end();
  if (field == arguments.end() || !field->is_string()) {
    return tl::unexpected(error{error_code::kInvalid, "give \"engine\": \"ip:port\""});
  }
  return UpstreamIdOf(field->get_ref<const std::string&>());
}

expected<nlohmann::json> order_system::Release(const nlohmann::json& arguments) {
  const expected<upstream_id> engine = EngineOf(arguments);
  if (!engine) return tl::unexpected(engine.error());
  const auto found = journal_.rows.find(*engine);
  if (found == journal_.rows.end()) {
    return tl::unexpected(error{error_code::kNotFound, "no order of that engine"});
  }
  if (found->second.open) {
    return tl::unexpected(error{error_code::kConflict, "its order is still open"});
  }
  found->second.issuers.clear();
  found->second.uncertain = false;
  copies_.erase(*engine);
  dirty_ = true;
  return nlohmann::json{{"released", found->second.address}};
}

expected<nlohmann::json> order_system::SetRole(const nlohmann::json& arguments) {
  const expected<upstream_id> engine = EngineOf(arguments);
  if (!engine) return tl::unexpected(engine.error());
  const auto field = arguments.find("role");
  const bool is_text = field != arguments.end() && field->is_string();
  const expected<engine_role> role = ParseRole(is_text ? field->get<std::string>() : "");
  if (!role) return tl::unexpected(role.error());
  order_request request;
  request.engine = *engine;
  request.role = *role;
  const expected<order_id> order = Propose(request);
  if (!order) return tl::unexpected(order.error());
  return nlohmann::json{{"order", order->value()}};
}

}  // namespace hawthorndrum
