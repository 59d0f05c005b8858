/// Converts the object API's calls and answers to and from HTTP.
#include "object_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "base/json_parts.h"
#include "base/url.h"
#include "systems/json_fields.h"

namespace hawthorndrum {

namespace {

object_version ReadVersion(const http_answer& answer) {
  std::string_view text = FindHeader(answer.headers, "ETag");
  if (text.size() < 2) return object_version();
  text = text.substr(1, text.size() - 2);
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return object_version(version);
}

/** Returns nothing for an object or event whose key or version can't be read. */
std::optional<store_entry> ReadEntry(std::string_view text) {
  const nlohmann::json item = ReadJson(text);
  json_fields fields(item);
  store_entry entry;
  entry.key = fields.Text("key");
  entry.version = object_version(fields.Unsigned("version"));
  if (!fields.ok()) return std::nullopt;
  const auto deleted = item.find("deleted");
  entry.deleted = deleted != item.end() && *deleted == true;
  return entry;
}

/**
 * Parses the entries of a list or watch answer, each by itself, as any writer may have written
 * them; unreadable ones are left out. Returns false if the answer can't be divided into entries or
 * has no revision.
 */
bool ReadEntries(const http_answer& answer, std::string_view member, store_answer& result) {
  const auto members = MembersOf(answer.body);
  if (!members) return false;
  const auto items = ElementsOf(ValueOf(*members, member));
  const nlohmann::json revision = ReadJson(ValueOf(*members, "revision"));
  if (!items || !revision.is_number_unsigned()) return false;
  result.version = object_version(revision.get<std::uint64_t>());
  for (const std::string_view item : *items) {
    if (auto entry = ReadEntry(item)) result.entries.push_back(std::move(*entry));
  }
  return true;
}

/** The outcome of an answer whose status is neither a success nor one with a meaning of its own. */
store_outcome OutcomeOfStatus(const store_call& call, int status) {
  const bool refused = status == 429 || status == 503 || (status >= 400 && status < 500);
  if (refused) return store_outcome::kRefused;
  return IsStoreWrite(call.operation) ? store_outcome::kUnknown : store_outcome::kRefused;
}

}  // namespace

bool IsStoreWrite(store_operation operation) {
  return operation == store_operation::kCreate || operation == store_operation::kUpdate ||
         operation == store_operation::kRemove;
}

http_request ObjectApiRequest(const store_call& call) {
  http_request request;
  const std::string object = "/v1/objects/" + EscapePath(call.key);
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
      request.target = UrlTarget({"v1", "list"}, {{"prefix", call.key}});
      return request;
    case store_operation::kWatch:
      request.target = UrlTarget(
          {"v1", "watch"}, {{"prefix", call.key},
                            {"after", std::to_string(call.expected.value())},
                            {"timeout_ms", std::to_string(ToMilliseconds(call.timeout) / 2)}});
      return request;
  }
  return request;
}

store_answer ObjectApiAnswer(const store_call& call, http_answer answer) {
  store_answer result;
  const int status = answer.status;
  result.version = ReadVersion(answer);
  const bool success = status >= 200 && status < 300;
  if (status == 412) {
    const bool missing = call.operation != store_operation::kCreate && !result.version;
    result.outcome = missing ? store_outcome::kMissing : store_outcome::kConflict;
  } else if (status == 404) {
    result.outcome = store_outcome::kMissing;
  } else if (status == 410) {
    result.outcome = store_outcome::kStale;
  } else if (!success) {
    result.outcome = OutcomeOfStatus(call, status);
  } else {
    result.outcome = store_outcome::kDone;
  }
  if (result.outcome != store_outcome::kDone) return result;
  const bool needs_version =
      call.operation == store_operation::kCreate || call.operation == store_operation::kUpdate;
  if (needs_version && !result.version) result.outcome = store_outcome::kUnknown;
  if (call.operation == store_operation::kGet) result.value = std::move(answer.body);
  const bool list = call.operation == store_operation::kList;
  const bool watch = call.operation == store_operation::kWatch;
  if ((list || watch) && !ReadEntries(answer, list ? "objects" : "events", result)) {
    result.outcome = store_outcome::kRefused;
  }
  return result;
}

store_answer ObjectApiNoAnswer(const store_call& call, bool bytes_sent) {
  store_answer result;
  const bool may_have_run = bytes_sent && IsStoreWrite(call.operation);
  result.outcome = may_have_run ? store_outcome::kUnknown : store_outcome::kRefused;
  return result;
}

}  // namespace hawthorndrum
