/// Claim messages as CBOR arrays; every field is validated when decoded.
#include "systems/claim_messages.h"

#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "base/cbor_fields.h"
#include "tables/claim_codec.h"

namespace hawthorndrum {

namespace {

using json = nlohmann::json;

constexpr std::size_t kForwardFields = 6;
constexpr std::size_t kQueryFields = 3;
constexpr std::size_t kReplyFields = 6;
constexpr std::uint64_t kForwardReply = 0;
constexpr std::uint64_t kQueryReply = 1;
constexpr std::uint64_t kMaxWaitMs = 10 * 60 * 1000;

template <typename Enum>
std::uint64_t Number(Enum value) {
  return static_cast<std::uint64_t>(value);
}

peer_message Message(peer_topic topic, const json& body) {
  peer_message message;
  message.topic = topic;
  message.body = EncodeCbor(body);
  return message;
}

auto Malformed() { return tl::unexpected(error{error_code::kInvalid, "malformed claim message"}); }

expected<json> Fields(const peer_message& message, std::size_t count) {
  expected<json> item = DecodeCbor(message.body);
  if (!item) return item;
  if (!item->is_array() || item->size() != count) return Malformed();
  return item;
}

expected<json> ReplyFields(const peer_message& message, std::uint64_t kind) {
  expected<json> item = Fields(message, kReplyFields);
  if (!item) return item;
  std::uint64_t found = 0;
  if (!ReadField((*item)[0], found) || found != kind) return Malformed();
  return item;
}

}  // namespace

peer_message Encode(const claim_forward& message) {
  const claim_change& change = message.change;
  return Message(peer_topic::kClaimForward,
                 json::array({message.buckets, Number(change.kind), RecordToJson(change.record),
                              change.replaces.value(), change.replaces_unknown,
                              static_cast<std::uint64_t>(ToMilliseconds(message.max_wait))}));
}

expected<claim_forward> DecodeForward(const peer_message& message) {
  const expected<json> fields = Fields(message, kForwardFields);
  if (!fields) return tl::unexpected(fields.error());
  const json& item = *fields;
  claim_forward forward;
  std::uint64_t buckets = 0;
  std::uint64_t max_wait = 0;
  if (!ReadField(item[0], buckets) || buckets > UINT32_MAX) return Malformed();
  if (!ReadEnumField(item[1], claim_change_kind::kMaintain, forward.change.kind))
    return Malformed();
  if (!RecordFromJson(item[2], forward.change.record)) return Malformed();
  if (!ReadIdField(item[3], forward.change.replaces)) return Malformed();
  if (!item[4].is_boolean()) return Malformed();
  if (!ReadField(item[5], max_wait) || max_wait > kMaxWaitMs) return Malformed();
  forward.buckets = static_cast<std::uint32_t>(buckets);
  forward.change.replaces_unknown = item[4].get<bool>();
  forward.max_wait = milliseconds(max_wait);
  return forward;
}

peer_message Encode(const claim_forward_result& message) {
  const claim_result& result = message.result;
  json present = nullptr;
  if (result.present.attempt) present = RecordToJson(result.present);
  return Message(peer_topic::kClaimReply,
                 json::array({kForwardReply, Number(result.change), Number(result.kind),
                              result.attempt.value(), std::move(present), result.may_be_written}));
}

expected<claim_forward_result> DecodeForwardResult(const peer_message& message) {
  const expected<json> fields = ReplyFields(message, kForwardReply);
  if (!fields) return tl::unexpected(fields.error());
  const json& item = *fields;
  claim_result result;
  if (!ReadEnumField(item[1], claim_change_kind::kMaintain, result.change)) return Malformed();
  if (!ReadEnumField(item[2], claim_result_kind::kLost, result.kind)) return Malformed();
  if (!ReadIdField(item[3], result.attempt)) return Malformed();
  if (!item[4].is_null() && !RecordFromJson(item[4], result.present)) return Malformed();
  if (!item[5].is_boolean()) return Malformed();
  result.may_be_written = item[5].get<bool>();
  return claim_forward_result{std::move(result)};
}

peer_message Encode(const claim_query& message) {
  return Message(peer_topic::kClaimQuery,
                 json::array({message.requester.value(), message.attempt.value(),
                              message.incarnation.value()}));
}

expected<claim_query> DecodeQuery(const peer_message& message) {
  const expected<json> fields = Fields(message, kQueryFields);
  if (!fields) return tl::unexpected(fields.error());
  claim_query query;
  if (!ReadIdField((*fields)[0], query.requester) || !ReadIdField((*fields)[1], query.attempt) ||
      !ReadIdField((*fields)[2], query.incarnation)) {
    return Malformed();
  }
  return query;
}

peer_message Encode(const claim_query_answer& message) {
  return Message(peer_topic::kClaimReply,
                 json::array({kQueryReply, message.requester.value(), message.attempt.value(),
                              Number(message.progress), AnswerToJson(message.answer), false}));
}

bool IsQueryAnswer(const peer_message& message) {
  return ReplyFields(message, kQueryReply).has_value();
}

expected<claim_query_answer> DecodeQueryAnswer(const peer_message& message) {
  const expected<json> fields = ReplyFields(message, kQueryReply);
  if (!fields) return tl::unexpected(fields.error());
  const json& item = *fields;
  claim_query_answer answer;
  if (!ReadIdField(item[1], answer.requester) || !ReadIdField(item[2], answer.attempt))
    return Malformed();
  if (!ReadEnumField(item[3], attempt_progress::kClaimantGone, answer.progress)) return Malformed();
  if (!AnswerFromJson(item[4], answer.answer)) return Malformed();
  return answer;
}

}  // namespace hawthorndrum
