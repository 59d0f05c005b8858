/// Parses a caller's HTTP request into a row of the request table.
#include "systems/request_reader.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "systems/prefix_chain.h"
#include "systems/resume_token.h"
#include "tables/config_view.h"

namespace hawthorndrum {

namespace {

constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
constexpr int kHighestPriority = 9;

tl::unexpected<refusal> Refuse(int status, std::string code, std::string detail) {
  return tl::make_unexpected(
      refusal{status, outcome::kNotRun, std::move(code), std::move(detail), duration::zero()});
}

/** Returns the number in the text, or nothing when it is not a whole number of 0 or more. */
std::optional<std::int64_t> NumberIn(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) return std::nullopt;
  return value;
}

std::size_t SizeOf(const std::vector<http_header>& headers) {
  std::size_t size = 0;
  for (const http_header& header : headers) size += header.name.size() + header.value.size() + 4;
  return size;
}

/** Sets priority and deadlines; the caller's values are bounded by those of its service. */
tl::expected<void, refusal> ReadTimes(request_row& row) {
  const service_config& service = *row.service;
  row.priority = service.priority;
  row.deadline = row.arrived + service.longest_deadline;
  row.useful_by = std::min(row.arrived + service.useful_within, row.deadline);
  const std::string_view priority = FindHeader(row.headers, "X-Priority");
  if (!priority.empty()) {
    const auto wanted = NumberIn(priority);
    if (!wanted || *wanted > kHighestPriority) {
      return Refuse(400, "bad_priority", "X-Priority must be a whole number from 0 to 9");
    }
    row.priority = std::min(service.priority, static_cast<int>(*wanted));
  }
  const std::string_view deadline = FindHeader(row.headers, "X-Request-Deadline-Ms");
  if (deadline.empty()) return {};
  const auto wanted = NumberIn(deadline);
  if (!wanted || *wanted == 0) {
    return Refuse(400, "bad_deadline", "X-Request-Deadline-Ms must be a whole number above 0");
  }
  const std::int64_t longest = ToMilliseconds(service.longest_deadline);
  row.deadline = row.arrived + milliseconds(std::min(*wanted, longest));
  row.useful_by = row.deadline;
  return {};
}

tl::expected<void, refusal> ReadKey(request_row& row) {
  const service_config& service = *row.service;
  const std::string_view key = FindHeader(row.headers, "Idempotency-Key");
  row.repeatable = service.repeatable;
  if (key.size() > kLongestKey) {
    return Refuse(400, "bad_idempotency_key", "Idempotency-Key is longer than 255 bytes");
  }
  if (!service.repeatable && service.key_required && key.empty()) {
    return Refuse(400, "idempotency_key_required",
                  "this service's requests may not be repeated: send an Idempotency-Key");
  }
  // Repeating a model request does no harm, and client libraries send keys with every request, so
  // the key is ignored here.
  if (service.kind == service_kind::kModel && service.repeatable) return {};
  row.idempotency_key = key;
  if (!key.empty()) row.repeatable = false;
  return {};
}

/** Appends the message's content as engines count and hash it; returns false if it is invalid. */
bool AppendMessage(const nlohmann::json& message, std::string& text) {
  if (!message.is_object()) return false;
  const auto role = message.find("role");
  if (role == message.end() || !role->is_string()) return false;
  const auto content = message.find("content");
  if (content == message.end()) return true;
  text += content->is_string() ? content->get_ref<const std::string&>() : content->dump();
  text += '\n';
  return true;
}

std::optional<std::uint64_t> RequestedTokens(const nlohmann::json& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) continue;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0) return std::nullopt;
    return found->get<std::uint64_t>();
  }
  return 0;
}

tl::expected<void, refusal> ReadModel(const nlohmann::json& body, const service_config& service) {
  const auto model = body.find("model");
  if (model == body.end()) return {};
  if (!model->is_string()) return Refuse(400, "bad_model", "`model` must be a string");
  const std::string& name = model->get_ref<const std::string&>();
  if (name.empty() || name == service.model.name || name == service.name) return {};
  if (name == service.model.adapter) return {};
  return Refuse(404, "unknown_model",
                "service " + service.name + " serves model " + service.model.name);
}

tl::expected<void, refusal> ReadCompletion(request_row& row) {
  const service_config& service = *row.service;
  nlohmann::json body = nlohmann::json::parse(row.body, nullptr, false);
  if (body.is_discarded()) return Refuse(400, "bad_json", "the body is not JSON in UTF-8");
  if (!body.is_object()) return Refuse(400, "bad_json", "the body must be a JSON object");
  if (auto model = ReadModel(body, service); !model) return model;
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) return Refuse(400, "bad_stream", "`stream` must be true or false");
    row.stream = stream->get<bool>();
  }
  const auto wanted = RequestedTokens(body);
  if (!wanted) return Refuse(400, "bad_max_tokens", "`max_tokens` must be above 0");
  if (*wanted > service.limits.max_tokens) {
    return Refuse(400, "too_many_tokens",
                  "`max_tokens` may be at most " + std::to_string(service.limits.max_tokens));
  }
  row.max_tokens = *wanted == 0 ? service.limits.max_tokens : *wanted;
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Refuse(400, "bad_messages", "`messages` must be a list with at least one message");
  }
  std::string text;
  for (const nlohmann::json& message : *messages) {
    if (!AppendMessage(message, text)) {
      return Refuse(400, "bad_messages", "each message must be an object with a `role`");
    }
  }
  // Callers may name the service instead of the model, or nothing; engines know only models.
  const model_use& use = service.model;
  const std::string& model = use.adapter.empty() ? use.name : use.adapter;
  if (body.value("model", "") != model) {
    body["model"] = model;
    row.body = body.dump();
  }
  row.prompt_tokens = text.size() / kBytesPerToken + 1;
  row.prefix = PrefixChain(text);
  return {};
}

tl::expected<void, refusal> ReadResume(request_row& row) {
  const std::string_view text = FindHeader(row.headers, "Last-Event-ID");
  if (text.empty() || !row.stream) return {};
  const auto token = ParseResumeToken(text);
  if (!token) return Refuse(400, "bad_last_event_id", "Last-Event-ID: " + token.error().message);
  if (token->fingerprint != row.fingerprint) {
    return Refuse(409, "other_stream", "Last-Event-ID belongs to a stream of another request");
  }
  row.offset = token->offset;
  row.preferred = token->engine;
  return {};
}

tl::expected<void, refusal> ReadModelRequest(request_row& row) {
  const std::string path = row.path.substr(0, row.path.find('?'));
  if (path != kCompletionsPath) {
    return Refuse(404, "unknown_path", "this service answers POST /v1/chat/completions");
  }
  if (row.method != "POST") return Refuse(405, "bad_method", "use POST");
  if (auto read = ReadCompletion(row); !read) return read;
  return ReadResume(row);
}

}  // namespace

tl::expected<request_row, refusal> ReadRequest(request_id id, http_request request,
                                               const config_view& config, time_point now) {
  if (SizeOf(request.headers) + request.target.size() > kLongestHeaders) {
    return Refuse(431, "headers_too_large", "headers may hold at most 32 KiB");
  }
  if (request.body.size() > kLongestBody) {
    return Refuse(413, "body_too_large", "a body may hold at most 8 MiB");
  }
  std::string_view target = request.target;
  if (target.substr(0, kServicesPath.size()) != kServicesPath) {
    return Refuse(404, "unknown_path", "requests go to /services/<service>/...");
  }
  target.remove_prefix(kServicesPath.size());
  const std::size_t name_end = std::min(target.find('/'), target.find('?'));
  request_row row;
  row.service = config.Find(target.substr(0, name_end));
  if (!row.service) return Refuse(404, "unknown_service", "no service of that name is published");
  row.id = id;
  row.arrived = now;
  row.method = std::move(request.method);
  row.path = name_end == std::string_view::npos ? "/" : std::string(target.substr(name_end));
  if (row.path.front() != '/') row.path.insert(0, "/");
  row.headers = std::move(request.headers);
  row.body = std::move(request.body);
  // Another version of the model generates other tokens, so it changes the fingerprint.
  const model_use& model = row.service->model;
  const std::uint64_t service_hash =
      Hash64(row.service->name + "/" + model.name + "/" + model.version + "/" + model.adapter);
  const std::uint64_t target_hash = Hash64(row.method + " " + row.path, service_hash);
  row.fingerprint = Hash64(row.body, target_hash);
  if (row.fingerprint == 0) row.fingerprint = 1;
  if (auto read = ReadTimes(row); !read) return tl::make_unexpected(read.error());
  if (auto read = ReadKey(row); !read) return tl::make_unexpected(read.error());
  if (row.service->kind == service_kind::kModel) {
    if (auto read = ReadModelRequest(row); !read) return tl::make_unexpected(read.error());
  }
  return row;
}

}  // namespace hawthorndrum
