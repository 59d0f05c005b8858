/// Encodes records as CBOR arrays, so that field names take no space in a bucket.
#include "tables/claim_codec.h"

#include <nlohmann/json.hpp>

#include "base/cbor_fields.h"

namespace hawthorndrum {

namespace {

using json = nlohmann::json;

constexpr std::size_t kRecordFields = 9;
constexpr std::size_t kAnswerFields = 3;
constexpr std::uint64_t kHighestStatus = 999;

bool ReadHeaders(const json& field, std::vector<http_header>& headers) {
  if (!field.is_array()) return false;
  for (const json& item : field) {
    http_header header;
    if (!item.is_array() || item.size() != 2) return false;
    if (!ReadField(item[0], header.name) || !ReadField(item[1], header.value)) return false;
    headers.push_back(std::move(header));
  }
  return true;
}

}  // namespace

json AnswerToJson(const http_answer& answer) {
  json headers = json::array();
  for (const http_header& header : answer.headers) {
    headers.push_back(json::array({CborBytes(header.name), CborBytes(header.value)}));
  }
  return json::array({static_cast<std::uint64_t>(answer.status), headers, CborBytes(answer.body)});
}

bool AnswerFromJson(const json& item, http_answer& answer) {
  if (!item.is_array() || item.size() != kAnswerFields) return false;
  std::uint64_t status = 0;
  if (!ReadField(item[0], status) || status > kHighestStatus) return false;
  answer.status = static_cast<int>(status);
  return ReadHeaders(item[1], answer.headers) && ReadField(item[2], answer.body);
}

json RecordToJson(const claim_record& record) {
  json item = json::array();
  item.push_back(CborBytes(record.name.service));
  item.push_back(CborBytes(record.name.key));
  item.push_back(record.attempt.value());
  item.push_back(record.digest);
  item.push_back(record.claimant.value());
  item.push_back(record.incarnation.value());
  item.push_back(static_cast<std::uint64_t>(record.state));
  item.push_back(record.settled_epoch);
  if (record.state == claim_state::kDone) {
    item.push_back(AnswerToJson(record.answer));
  } else {
    item.push_back(nullptr);
  }
  return item;
}

bool RecordFromJson(const json& item, claim_record& record) {
  if (!item.is_array() || item.size() != kRecordFields) return false;
  if (!ReadField(item[0], record.name.service) || !ReadField(item[1], record.name.key))
    return false;
  if (!ReadIdField(item[2], record.attempt) || !record.attempt) return false;
  if (!ReadField(item[3], record.digest)) return false;
  if (!ReadIdField(item[4], record.claimant) || !ReadIdField(item[5], record.incarnation))
    return false;
  if (!ReadEnumField(item[6], claim_state::kUnknown, record.state) ||
      !ReadField(item[7], record.settled_epoch))
    return false;
  if (record.state != claim_state::kDone) return item[8].is_null();
  return AnswerFromJson(item[8], record.answer);
}

}  // namespace hawthorndrum
