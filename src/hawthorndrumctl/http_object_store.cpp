/// Object store calls as HTTP calls; see docs/protocols.md.
#include "http_object_store.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

constexpr duration kSlack = seconds(2);

std::string Quote(object_version version) { return "\"" + std::to_string(version.value()) + "\""; }

object_version ReadVersion(const http_answer& answer) {
  std::string text(FindHeader(answer.headers, "ETag"));
  if (text.size() > 2 && text.front() == '"') text = text.substr(1, text.size() - 2);
  return object_version(std::strtoull(text.c_str(), nullptr, 10));
}

http_request ToHttp(const store_call& call) {
  const std::string object = "/v1/objects/" + call.key;
  switch (call.operation) {
    case store_operation::kGet:
      return {"GET", object, {}, {}};
    case store_operation::kCreate:
      return {"PUT", object, {{"If-None-Match", "*"}}, call.value};
    case store_operation::kUpdate:
      return {"PUT", object, {{"If-Match", Quote(call.expected)}}, call.value};
    case store_operation::kRemove:
      return {"DELETE", object, {{"If-Match", Quote(call.expected)}}, {}};
    case store_operation::kList:
      return {"GET", "/v1/list?prefix=" + call.key, {}, {}};
    case store_operation::kWatch:
      return {"GET",
              "/v1/watch?prefix=" + call.key + "&after=" + std::to_string(call.expected.value()) +
                  "&timeout_ms=" + std::to_string(ToMilliseconds(call.timeout)),
              {},
              {}};
  }
  return {};
}

store_outcome ToOutcome(const store_call& call, int status) {
  if (status >= 200 && status < 300) return store_outcome::kDone;
  switch (status) {
    case 404:
      return store_outcome::kMissing;
    case 410:
      return store_outcome::kStale;
    case 412:
      return store_outcome::kConflict;
    case 400:
    case 413:
    case 429:
    case 503:
      return store_outcome::kRefused;
    default:
      return call.operation == store_operation::kGet ? store_outcome::kRefused
                                                     : store_outcome::kUnknown;
  }
}

/** Reads a list's or a watch's body; returns false when it is something else. */
bool ReadEntries(const std::string& body, store_answer& answer) {
  const json read = json::parse(body, nullptr, false);
  if (!read.is_object() || !read.contains("revision")) return false;
  if (!read["revision"].is_number_unsigned()) return false;
  answer.version = object_version(read["revision"].get<std::uint64_t>());
  for (const char* name : {"objects", "events"}) {
    if (!read.contains(name) || !read[name].is_array()) continue;
    for (const json& item : read[name]) {
      const bool whole = item.is_object() && item.contains("key") && item["key"].is_string() &&
                         item.contains("version") && item["version"].is_number_unsigned();
      if (!whole) return false;
      const bool deleted = item.contains("deleted") && item["deleted"] == json(true);
      answer.entries.push_back({item["key"].get<std::string>(),
                                object_version(item["version"].get<std::uint64_t>()), deleted});
    }
  }
  return true;
}

}  // namespace

store_call_id http_object_store::Submit(store_call call, store_listener& listener) {
  const store_call_id id(++last_id_);
  waiting_.push_back({id, std::move(call), &listener});
  return id;
}

bool http_object_store::Pump() {
  if (waiting_.empty()) return false;
  const waiting_call next = std::move(waiting_.front());
  waiting_.pop_front();
  next.listener->OnStoreAnswer(next.id, Call(next.call));
  return true;
}

store_answer http_object_store::Call(const store_call& call) {
  last_problem_.clear();
  const expected<http_answer> got = CallHttp(endpoint_, ToHttp(call), call.timeout + kSlack);
  store_answer answer;
  if (!got) {
    last_problem_ = got.error().message;
    const bool sent = got.error().code == error_code::kUnknownOutcome;
    answer.outcome = sent ? store_outcome::kUnknown : store_outcome::kRefused;
    return answer;
  }
  answer.outcome = ToOutcome(call, got->status);
  if (got->status >= 400 && answer.outcome != store_outcome::kMissing) {
    last_problem_ = endpoint_.address + ": status " + std::to_string(got->status);
  }
  answer.version = ReadVersion(*got);
  const bool lists =
      call.operation == store_operation::kList || call.operation == store_operation::kWatch;
  if (!lists) {
    answer.value = got->body;
  } else if (answer.outcome == store_outcome::kDone && !ReadEntries(got->body, answer)) {
    answer.outcome = store_outcome::kUnknown;
  }
  return answer;
}

}  // namespace hawthorndrum
