/// Reports claims as JSON, and carries out the load and settle verbs.
#include "systems/claim_admin.h"

#include <nlohmann/json.hpp>

#include "systems/claim_system.h"

namespace hawthorndrum {

namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxListed = 200;

auto Invalid(std::string message) {
  return tl::unexpected(error{error_code::kInvalid, std::move(message)});
}

/** Escapes bytes that aren't printable ASCII: a key may hold any bytes, JSON only valid UTF-8. */
std::string Printable(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string result;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x20 && byte < 0x7f && c != '\\') {
      result += c;
      continue;
    }
    result += "\\x";
    result += kDigits[byte >> 4];
    result += kDigits[byte & 15];
  }
  return result;
}

std::string_view PhaseName(claim_phase phase) {
  switch (phase) {
    case claim_phase::kClaiming:
      return "claiming";
    case claim_phase::kWaiting:
      return "waiting";
    case claim_phase::kLooking:
      return "looking_up";
    case claim_phase::kDecided:
      return "decided";
    case claim_phase::kGranted:
      return "granted";
    case claim_phase::kSettling:
      return "settling";
  }
  return "claiming";
}

// Ids have 64 bits, more than many JSON readers keep exactly in a number.
std::string IdText(std::uint64_t id) { return std::to_string(id); }

json RecordReport(const claim_record& record) {
  return {{"service", Printable(record.name.service)},
          {"key", Printable(record.name.key)},
          {"attempt", IdText(record.attempt.value())},
          {"state", ToText(record.state)},
          {"maker", IdText(record.claimant.value())},
          {"incarnation", IdText(record.incarnation.value())},
          {"answer_status", record.answer.status}};
}

bool IsOpen(const claim_record& record) {
  return record.state == claim_state::kClaimed || record.state == claim_state::kUnknown;
}

bool ReadName(const json& arguments, claim_name& name) {
  if (!arguments.is_object()) return false;
  const json service = arguments.value("service", json());
  const json key = arguments.value("key", json());
  if (!service.is_string() || !key.is_string()) return false;
  name.service = service.get<std::string>();
  name.key = key.get<std::string>();
  return true;
}

bool ReadAttempt(const json& arguments, attempt_id& attempt) {
  const json field = arguments.value("attempt", json());
  if (!field.is_string()) return false;
  const std::string text = field.get<std::string>();
  constexpr std::size_t kMaxDigits = 20;
  if (text.empty() || text.size() > kMaxDigits) return false;
  if (text.find_first_not_of("0123456789") != std::string::npos) return false;
  attempt = attempt_id(std::strtoull(text.c_str(), nullptr, 10));
  return true;
}

}  // namespace

expected<json> claim_admin::Report(std::string_view item) const {
  if (item.empty()) return ReportAll();
  const std::size_t slash = item.find('/');
  if (slash == std::string_view::npos) return Invalid("SERVICE/KEY is wanted");
  const claim_name name{std::string(item.substr(0, slash)), std::string(item.substr(slash + 1))};
  const claim_record* record = claims_.committer().LastSeen(name);
  if (record == nullptr) {
    return tl::unexpected(
        error{error_code::kNotFound, "not seen here; load it first, and ask again"});
  }
  return RecordReport(*record);
}

json claim_admin::ReportAll() const {
  json own = json::array();
  for (const claim_attempt& attempt : claims_.attempts()) {
    if (own.size() >= kMaxListed) break;
    own.push_back({{"service", Printable(attempt.claim.service)},
                   {"key", Printable(attempt.claim.key)},
                   {"attempt", IdText(attempt.id.value())},
                   {"phase", PhaseName(attempt.phase)}});
  }
  json seen = json::array();
  std::size_t records = 0;
  for (const auto& [bucket, writer] : claims_.committer().writers()) {
    records += writer->last_seen().records.size();
    for (const auto& [name, record] : writer->last_seen().records) {
      if (IsOpen(record) && seen.size() < kMaxListed) seen.push_back(RecordReport(record));
    }
  }
  return {{"buckets", claims_.committer().buckets()},
          {"buckets_seen", claims_.committer().writers().size()},
          {"records_seen", records},
          {"own_attempts", claims_.attempts().size()},
          {"own", std::move(own)},
          {"open_seen", std::move(seen)}};
}

expected<json> claim_admin::Act(std::string_view verb, const json& arguments) {
  claim_name name;
  if (!ReadName(arguments, name)) return Invalid("\"service\" and \"key\" are wanted");
  if (verb == "settle") return Settle(name, arguments);
  if (verb != "load") return Invalid("unknown verb; load and settle are known");
  const expected<void> loaded = claims_.Load(name);
  if (!loaded) return tl::unexpected(loaded.error());
  return json{{"accepted", true}};
}

expected<json> claim_admin::Settle(const claim_name& name, const json& arguments) {
  attempt_id attempt;
  if (!ReadAttempt(arguments, attempt)) return Invalid("\"attempt\" is wanted, as a string");
  const json state = arguments.value("state", json());
  if (state != "done" && state != "not_run") return Invalid("\"state\" is done or not_run");
  const claim_state settled_state = state == "done" ? claim_state::kDone : claim_state::kNotRun;
  const expected<void> resolved = claims_.Resolve(name, attempt, settled_state);
  if (!resolved) return tl::unexpected(resolved.error());
  return json{{"accepted", true}};
}

}  // namespace hawthorndrum
