/// JSON encoding of the journal.
#include "systems/order_journal.h"

#include <nlohmann/json.hpp>

#include "systems/json_fields.h"
#include "systems/lease_record.h"

namespace hawthorndrum {
namespace {

constexpr std::uint64_t kLastKind = static_cast<std::uint64_t>(order_kind::kLoadAdapter);
constexpr std::uint64_t kLastRole = static_cast<std::uint64_t>(engine_role::kDecode);
constexpr std::uint64_t kLastProgress = static_cast<std::uint64_t>(order_progress::kFailed);

nlohmann::json OrderToJson(const engine_order& order) {
  return {{"id", order.id.value()},
          {"fencing", order.term.value()},
          {"kind", static_cast<std::uint64_t>(order.kind)},
          {"role", static_cast<std::uint64_t>(order.role)},
          {"model", order.model},
          {"version", order.version},
          {"adapter", order.adapter}};
}

nlohmann::json RowToJson(const journal_row& row) {
  nlohmann::json issuers = nlohmann::json::array();
  for (const order_issuer& issuer : row.issuers) {
    issuers.push_back({{"incarnation", issuer.incarnation.value()},
                       {"peer", issuer.peer.value()},
                       {"consumed", issuer.consumed}});
  }
  return {{"engine", row.engine.value()},
          {"address", row.address},
          {"open", row.open},
          {"order", OrderToJson(row.order)},
          {"issuers", issuers},
          {"uncertain", row.uncertain},
          {"uncertain_run", row.uncertain_run},
          {"ended", static_cast<std::uint64_t>(row.ended)}};
}

bool ReadOrder(const nlohmann::json& object, engine_order& order) {
  json_fields fields(object);
  order.id = order_id(fields.Unsigned("id"));
  order.term = lease_term(fields.Unsigned("fencing"));
  order.kind = static_cast<order_kind>(fields.Unsigned("kind", kLastKind));
  order.role = static_cast<engine_role>(fields.Unsigned("role", kLastRole));
  order.model = fields.Text("model");
  order.version = fields.Text("version");
  order.adapter = fields.Text("adapter");
  return fields.ok();
}

bool ReadIssuer(const nlohmann::json& object, order_issuer& issuer) {
  json_fields fields(object);
  issuer.incarnation = incarnation_id(fields.Unsigned("incarnation"));
  issuer.peer = peer_id(fields.Unsigned("peer"));
  issuer.consumed = fields.Flag("consumed");
  return fields.ok();
}

bool ReadRow(const nlohmann::json& object, journal_row& row) {
  json_fields fields(object);
  row.engine = upstream_id(fields.Unsigned("engine"));
  row.address = fields.Text("address");
  row.open = fields.Flag("open");
  row.uncertain = fields.Flag("uncertain");
  row.uncertain_run = fields.Unsigned("uncertain_run");
  row.ended = static_cast<order_progress>(fields.Unsigned("ended", kLastProgress));
  for (const nlohmann::json& element : fields.Array("issuers")) {
    order_issuer issuer;
    if (!ReadIssuer(element, issuer)) return false;
    row.issuers.push_back(issuer);
  }
  if (!fields.ok() || !object.contains("order") || !ReadOrder(object["order"], row.order)) {
    return false;
  }
  row.order.engine = row.engine;
  return true;
}

}  // namespace

std::string EncodeJournal(const order_journal& journal) {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [engine, row] : journal.rows) rows.push_back(RowToJson(row));
  const nlohmann::json object = {{"term", journal.term.value()},
                                 {"issuer", journal.issuer.value()},
                                 {"nonce", journal.nonce},
                                 {"next_number", journal.next_number},
                                 {"rows", rows}};
  return object.dump();
}

expected<order_journal> DecodeJournal(std::string_view text) {
  const auto bad = tl::unexpected(error{error_code::kInvalid, "malformed order journal"});
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  json_fields fields(object);
  order_journal journal;
  journal.term = lease_term(fields.Unsigned("term", kLargestTerm));
  journal.issuer = incarnation_id(fields.Unsigned("issuer"));
  journal.nonce = fields.Unsigned("nonce");
  journal.next_number = fields.Unsigned("next_number", kLargestOrderNumber + 1);
  for (const nlohmann::json& element : fields.Array("rows")) {
    journal_row row;
    if (!ReadRow(element, row)) return bad;
    journal.rows[row.engine] = std::move(row);
  }
  if (!fields.ok()) return bad;
  return journal;
}

}  // namespace hawthorndrum
