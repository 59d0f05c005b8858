/// JSON encoding of the record of reports.
#include "usage/usage_record.h"

#include <nlohmann/json.hpp>

#include "systems/json_fields.h"

namespace hawthorndrum {

using nlohmann::json;

std::string EncodeUsageRecord(const usage_record& record, std::uint64_t nonce) {
  json pending = json::array();
  for (const fixed_report& each : record.pending) {
    pending.push_back({{"window", each.report.window},
                       {"heard", each.heard},
                       {"known", each.known},
                       {"counts", each.report.counts}});
  }
  const json object = {{"next", record.next},
                       {"given_up", record.given_up},
                       {"nonce", nonce},
                       {"pending", std::move(pending)}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

expected<usage_record> DecodeUsageRecord(std::string_view text) {
  const error malformed{error_code::kInvalid, "malformed record of usage"};
  const json object = json::parse(text, nullptr, false);
  json_fields fields(object);
  usage_record record;
  record.next = fields.Unsigned("next");
  record.given_up = fields.Unsigned("given_up");
  for (const json& item : fields.Array("pending")) {
    json_fields each(item);
    fixed_report fixed;
    fixed.report.window = each.Unsigned("window");
    fixed.heard = each.Unsigned("heard");
    fixed.known = each.Unsigned("known");
    if (!each.ok() || !item.contains("counts") || !item["counts"].is_object())
      return tl::make_unexpected(malformed);
    for (const auto& [team, count] : item["counts"].items()) {
      if (!count.is_number_unsigned()) return tl::make_unexpected(malformed);
      fixed.report.counts[team] = count.get<std::uint64_t>();
    }
    record.pending.push_back(std::move(fixed));
  }
  if (!fields.ok()) return tl::make_unexpected(malformed);
  return record;
}

}  // namespace hawthorndrum
