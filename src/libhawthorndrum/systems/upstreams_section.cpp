/// Formats the rows of the upstream table as JSON, and handles the drain verbs.
#include "systems/upstreams_section.h"

#include <nlohmann/json.hpp>

#include "base/role_names.h"

namespace hawthorndrum {

namespace {

using json = nlohmann::json;

json LeavingOf(const leaving_sources& flags) {
  json sources = json::array();
  if (flags.host_list) sources.push_back("host_list");
  if (flags.engine) sources.push_back("engine");
  if (flags.peer) sources.push_back("peer");
  if (flags.operator_order) sources.push_back("operator");
  return sources;
}

json ModelsOf(const load_report& report) {
  json models = json::array();
  for (const loaded_model& model : report.models) {
    models.push_back(
        {{"name", model.name}, {"version", model.version}, {"adapters", model.adapters}});
  }
  return models;
}

json ReportOf(const upstream& row, time_point now) {
  return {{"age_ms", ToMilliseconds(now - row.report_time)},
          {"role", RoleName(row.report.role)},
          {"state", StateName(row.report.state)},
          {"running", row.report.running},
          {"queued", row.report.queued},
          {"queued_prefill_tokens", row.report.queued_prefill_tokens},
          {"kv_used_bytes", row.report.kv_used_bytes},
          {"kv_total_bytes", row.report.kv_total_bytes},
          {"term", row.report.term.value()},
          {"models", ModelsOf(row.report)}};
}

}  // namespace

json upstreams_section::Describe(const upstream& row) const {
  json described = {{"address", row.address},
                    {"kind", row.kind == host_kind::kEngine ? "engine" : "service"},
                    {"pool", row.pool},
                    {"data_centre", row.data_centre},
                    {"leaving", LeavingOf(row.leaving)},
                    {"planned_change", row.planned_change},
                    {"takes_work", row.TakesWork()},
                    {"in_flight_here", row.own_in_flight},
                    {"polled_here", load_.Owns(row.id)}};
  if (row.has_report) described["report"] = ReportOf(row, clock_.Now());
  return described;
}

expected<json> upstreams_section::Report(std::string_view item) const {
  json rows = json::array();
  for (const upstream& row : membership_.upstreams()) {
    if (item.empty()) {
      rows.push_back(Describe(row));
    } else if (row.address == item) {
      return Describe(row);
    }
  }
  if (item.empty()) return json{{"upstreams", rows}};
  return tl::make_unexpected(
      error{error_code::kNotFound, "no such upstream: " + std::string(item)});
}

expected<json> upstreams_section::Act(std::string_view verb, const json& arguments) {
  const bool drain = verb == "drain";
  if (!drain && verb != "undrain") {
    return tl::make_unexpected(
        error{error_code::kInvalid, "upstreams has no verb " + std::string(verb)});
  }
  const auto address = arguments.is_object() ? arguments.find("address") : arguments.end();
  if (address == arguments.end() || !address->is_string()) {
    return tl::make_unexpected(error{error_code::kInvalid, "\"address\" is missing"});
  }
  const auto& text = address->get_ref<const std::string&>();
  const expected<void> done = membership_.Drain(text, drain);
  if (!done) return tl::make_unexpected(done.error());
  return json{{"address", text}, {"drain", drain}};
}

}  // namespace hawthorndrum
