/// CBOR encoding of load messages: flat arrays of numbers, and one bit per unchanged slot.
#include "systems/load_messages.h"

#include <algorithm>

#include "base/cbor.h"
#include "base/cbor_reader.h"

namespace hawthorndrum {

namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxNameLength = 256;
constexpr std::size_t kMaxModels = 64;
constexpr std::size_t kMaxAdapters = 256;
constexpr std::uint64_t kMaxAgeMs = 1000 * 1000;
/** Rates are sent in steps of this many tokens per second. */
constexpr double kRateStep = 1;
constexpr std::size_t kFieldsPerChange = 6;

std::uint64_t AgeOf(duration age) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, ToMilliseconds(age)));
}

std::uint64_t RateOf(double rate) {
  return static_cast<std::uint64_t>(std::clamp(rate / kRateStep, 0.0, 1e9));
}

json ModelsOf(const load_report& report) {
  json models = json::array();
  for (const loaded_model& model : report.models) {
    models.push_back(json::array({model.name, model.version, model.adapters}));
  }
  return models;
}

json FullOf(const load_full& full) {
  const load_report& report = full.report;
  return json::array({full.slot, AgeOf(full.age), report.upstream.value(),
                      report.engine_incarnation, static_cast<unsigned>(report.role),
                      static_cast<unsigned>(report.state), report.running, report.queued,
                      report.queued_prefill_tokens, RateOf(report.prefill_tokens_per_second),
                      RateOf(report.decode_tokens_per_second), report.kv_used_bytes,
                      report.kv_total_bytes, report.term.value(), report.last_order.value(),
                      static_cast<unsigned>(report.last_order_progress), ModelsOf(report)});
}

json BitsOf(const std::vector<load_slot>& slots) {
  std::vector<std::uint8_t> bits;
  for (const load_slot slot : slots) {
    if (slot / 8 >= bits.size()) bits.resize(slot / 8 + 1);
    bits[slot / 8] = static_cast<std::uint8_t>(bits[slot / 8] | 1u << (slot % 8));
  }
  return json::binary(std::move(bits));
}

bool ReadModels(const json* models, load_report& report) {
  if (models == nullptr) return false;
  for (const json& item : *models) {
    cbor_reader fields(item);
    loaded_model model;
    model.name = fields.Text(kMaxNameLength);
    model.version = fields.Text(kMaxNameLength);
    const json* adapters = fields.Array(kMaxAdapters);
    if (!fields.ok()) return false;
    cbor_reader names(*adapters);
    while (names.HasMore()) model.adapters.push_back(names.Text(kMaxNameLength));
    if (!names.ok()) return false;
    report.models.push_back(std::move(model));
  }
  return true;
}

std::optional<load_full> ReadFull(const json& item) {
  cbor_reader fields(item);
  load_full full;
  load_report& report = full.report;
  full.slot = static_cast<load_slot>(fields.Unsigned(kMaxLoadSlots - 1));
  full.age = milliseconds(fields.Unsigned(kMaxAgeMs));
  report.upstream = upstream_id(fields.Unsigned());
  report.engine_incarnation = fields.Unsigned();
  report.role = static_cast<engine_role>(fields.Unsigned(2));
  report.state = static_cast<engine_state>(fields.Unsigned(2));
  report.running = static_cast<std::uint32_t>(fields.Unsigned(UINT32_MAX));
  report.queued = static_cast<std::uint32_t>(fields.Unsigned(UINT32_MAX));
  report.queued_prefill_tokens = fields.Unsigned();
  report.prefill_tokens_per_second = static_cast<double>(fields.Unsigned()) * kRateStep;
  report.decode_tokens_per_second = static_cast<double>(fields.Unsigned()) * kRateStep;
  report.kv_used_bytes = fields.Unsigned();
  report.kv_total_bytes = fields.Unsigned();
  report.term = lease_term(fields.Unsigned());
  report.last_order = order_id(fields.Unsigned());
  report.last_order_progress = static_cast<order_progress>(fields.Unsigned(3));
  if (!ReadModels(fields.Array(kMaxModels), report) || !fields.AtEnd()) return std::nullopt;
  return full;
}

bool ReadChanges(const json& items, load_message& message) {
  if (items.size() % kFieldsPerChange != 0) return false;
  cbor_reader fields(items);
  while (fields.HasMore()) {
    load_change change;
    change.slot = static_cast<load_slot>(fields.Unsigned(kMaxLoadSlots - 1));
    change.age = milliseconds(fields.Unsigned(kMaxAgeMs));
    change.running = static_cast<std::uint32_t>(fields.Unsigned(UINT32_MAX));
    change.queued = static_cast<std::uint32_t>(fields.Unsigned(UINT32_MAX));
    change.queued_prefill_tokens = fields.Unsigned();
    change.kv_used_per_mille = static_cast<std::uint32_t>(fields.Unsigned(1000));
    message.changes.push_back(change);
  }
  return fields.ok();
}

void ReadBits(const std::vector<std::uint8_t>& bits, load_message& message) {
  for (load_slot slot = 0; slot < bits.size() * 8; ++slot) {
    if ((bits[slot / 8] >> (slot % 8) & 1) != 0) message.unchanged.push_back(slot);
  }
}

}  // namespace

peer_message EncodeSnapshotRequest() { return {peer_topic::kLoadDelta, EncodeCbor(json::array())}; }

bool IsSnapshotRequest(const peer_message& message) {
  const expected<json> body = DecodeCbor(message.body);
  return body && body->is_array() && body->empty();
}

peer_message Encode(const load_message& message) {
  json fulls = json::array();
  for (const load_full& full : message.fulls) fulls.push_back(FullOf(full));
  json changes = json::array();
  for (const load_change& change : message.changes) {
    changes.push_back(change.slot);
    changes.push_back(AgeOf(change.age));
    changes.push_back(change.running);
    changes.push_back(change.queued);
    changes.push_back(change.queued_prefill_tokens);
    changes.push_back(change.kv_used_per_mille);
  }
  const json body = json::array({message.sequence, message.snapshot ? 1u : 0u, fulls, changes,
                                 BitsOf(message.unchanged), AgeOf(message.unchanged_age)});
  return {peer_topic::kLoadDelta, EncodeCbor(body)};
}

std::optional<load_message> DecodeLoad(const peer_message& message) {
  const expected<json> body = DecodeCbor(message.body);
  if (!body) return std::nullopt;
  cbor_reader fields(*body);
  load_message decoded;
  decoded.sequence = fields.Unsigned();
  decoded.snapshot = fields.Unsigned(1) == 1;
  const json* fulls = fields.Array(kMaxLoadSlots);
  const json* changes = fields.Array(kMaxLoadSlots * kFieldsPerChange);
  ReadBits(fields.Bytes(kMaxLoadSlots / 8), decoded);
  decoded.unchanged_age = milliseconds(fields.Unsigned(kMaxAgeMs));
  if (!fields.ok()) return std::nullopt;
  for (const json& item : *fulls) {
    std::optional<load_full> full = ReadFull(item);
    if (!full) return std::nullopt;
    decoded.fulls.push_back(std::move(*full));
  }
  if (!ReadChanges(*changes, decoded)) return std::nullopt;
  return decoded;
}

}  // namespace hawthorndrum
