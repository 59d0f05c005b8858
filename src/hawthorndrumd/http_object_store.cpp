/// The platform's object API over HTTP.
#include "http_object_store.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "base/url.h"
#include "ports/event_sink.h"
#include "whole_calls.h"

namespace hawthorndrum {

namespace {

constexpr duration kConnectTimeout = seconds(1);

bool IsWrite(store_operation operation) {
  return operation == store_operation::kCreate || operation == store_operation::kUpdate ||
         operation == store_operation::kRemove;
}

http_request ToRequest(const store_call& call) {
  http_request request;
  const std::string object = "/v1/objects/" + EscapeUrl(call.key);
  const std::string version = "\"" + std::to_string(call.expected.value()) + "\"";
  request.method = "GET";
  request.target = object;
  switch (call.operation) {
    case store_operation::kGet:
      return request;
    case store_operation::kCreate:
      request.method = "PUT";
      request.headers.push_back({"If-None-Match", "*"});
      request.body = call.value;
      return request;
    case store_operation::kUpdate:
      request.method = "PUT";
      request.headers.push_back({"If-Match", version});
      request.body = call.value;
      return request;
    case store_operation::kRemove:
      request.method = "DELETE";
      request.headers.push_back({"If-Match", version});
      return request;
    case store_operation::kList:
      request.target = "/v1/list?prefix=" + EscapeUrl(call.key);
      return request;
    case store_operation::kWatch:
      request.target = "/v1/watch?prefix=" + EscapeUrl(call.key) +
                       "&after=" + std::to_string(call.expected.value()) +
                       "&timeout_ms=" + std::to_string(ToMilliseconds(call.timeout) / 2);
      return request;
  }
  return request;
}

object_version ReadVersion(const http_answer& answer) {
  std::string_view text = FindHeader(answer.headers, "ETag");
  if (text.size() < 2) return object_version();
  text = text.substr(1, text.size() - 2);
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return object_version(version);
}

/** Reads a list's or a watch's entries; false when the text is not one. */
bool ReadEntries(const http_answer& answer, std::string_view member, store_answer& result) {
  const auto text = nlohmann::json::parse(answer.body, nullptr, false);
  if (!text.is_object() || !text.contains(member) || !text[std::string(member)].is_array()) {
    return false;
  }
  const auto revision = text.find("revision");
  if (revision == text.end() || !revision->is_number_unsigned()) return false;
  result.version = object_version(revision->get<std::uint64_t>());
  for (const auto& item : text[std::string(member)]) {
    if (!item.is_object() || !item.contains("key") || !item["key"].is_string()) return false;
    if (!item.contains("version") || !item["version"].is_number_unsigned()) return false;
    store_entry entry;
    entry.key = item["key"].get<std::string>();
    entry.version = object_version(item["version"].get<std::uint64_t>());
    entry.deleted = item.value("deleted", false);
    result.entries.push_back(std::move(entry));
  }
  return true;
}

/** What an answer that is neither a success nor a known refusal means. */
store_outcome OtherOutcome(const store_call& call, int status) {
  const bool refused = status == 429 || status == 503 || (status >= 400 && status < 500);
  if (refused) return store_outcome::kRefused;
  return IsWrite(call.operation) ? store_outcome::kUnknown : store_outcome::kRefused;
}

store_answer ToStoreAnswer(const store_call& call, whole_answer ended) {
  store_answer result;
  if (!ended.received) {
    const bool may_act = ended.bytes_sent && IsWrite(call.operation);
    result.outcome = may_act ? store_outcome::kUnknown : store_outcome::kRefused;
    return result;
  }
  const int status = ended.answer.status;
  result.version = ReadVersion(ended.answer);
  const bool success = status >= 200 && status < 300;
  if (status == 412) {
    const bool missing = call.operation != store_operation::kCreate && !result.version;
    result.outcome = missing ? store_outcome::kMissing : store_outcome::kConflict;
  } else if (status == 404) {
    result.outcome = store_outcome::kMissing;
  } else if (status == 410) {
    result.outcome = store_outcome::kStale;
  } else if (!success) {
    result.outcome = OtherOutcome(call, status);
  } else {
    result.outcome = store_outcome::kDone;
  }
  if (result.outcome != store_outcome::kDone) return result;
  if (call.operation == store_operation::kGet) result.value = std::move(ended.answer.body);
  const bool list = call.operation == store_operation::kList;
  const bool watch = call.operation == store_operation::kWatch;
  if ((list || watch) && !ReadEntries(ended.answer, list ? "objects" : "events", result)) {
    result.outcome = store_outcome::kRefused;
  }
  return result;
}

}  // namespace

store_call_id http_object_store::Submit(store_call call, store_listener& listener) {
  const store_call_id id(++last_id_);
  http_call sent;
  sent.address = address_;
  sent.request = ToRequest(call);
  sent.connect_timeout = std::min(kConnectTimeout, call.timeout);
  sent.idle_timeout = call.timeout;
  sent.total_timeout = call.timeout;
  // A write must not be sent twice: a kept connection may prove closed after it was written.
  sent.reuse = !IsWrite(call.operation);
  call.value.clear();
  calls_.Start(std::move(sent),
               [this, id, call = std::move(call), target = &listener](whole_answer ended) {
                 events_.Post(store_answered{id, ToStoreAnswer(call, std::move(ended)), target});
               });
  return id;
}

}  // namespace hawthorndrum
