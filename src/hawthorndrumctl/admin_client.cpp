/// Requests to the admin port, and the mapping of its answers to errors.
#include "admin_client.h"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

constexpr duration kDefaultTimeout = seconds(5);
constexpr std::size_t kMaxLaggingShown = 5;

tl::unexpected<error> Problem(error_code code, std::string message) {
  return tl::make_unexpected(error{code, std::move(message)});
}

expected<std::string> ReadToken(const arguments& args) {
  const std::string file = args.Value("token-file");
  if (file.empty()) {
    const char* token = std::getenv("HAWTHORNDRUM_ADMIN_TOKEN");
    return std::string(token == nullptr ? "" : token);
  }
  std::ifstream stream(file);
  std::string token;
  if (!std::getline(stream, token)) return Problem(error_code::kInvalid, "can't read " + file);
  return token;
}

error_code ErrorCodeOfStatus(int status) {
  switch (status) {
    case 400:
    case 422:
      return error_code::kInvalid;
    case 401:
    case 403:
      return error_code::kUnauthorised;
    case 404:
      return error_code::kNotFound;
    case 409:
    case 412:
      return error_code::kConflict;
    default:
      return error_code::kUnavailable;
  }
}

std::string ErrorMessageOf(const http_answer& answer) {
  const json body = json::parse(answer.body, nullptr, false);
  for (const char* key : {"detail", "error", "title", "message"}) {
    if (body.is_object() && body.contains(key) && body[key].is_string()) {
      return body[key].get<std::string>();
    }
  }
  return "status " + std::to_string(answer.status);
}

std::uint64_t Number(const json& object, const char* key) {
  const bool present = object.is_object() && object.contains(key);
  return present && object[key].is_number_unsigned() ? object[key].get<std::uint64_t>() : 0;
}

void ReadDataCentre(const json& entry, spread_report& report) {
  report.daemons += Number(entry, "daemons");
  if (!entry.is_object() || !entry.contains("lagging") || !entry["lagging"].is_array()) return;
  for (const json& daemon : entry["lagging"]) {
    if (!daemon.is_object() || !daemon.contains("address")) continue;
    const json& address = daemon["address"];
    if (!address.is_string()) continue;
    report.lagging.push_back(address.get<std::string>() + " has " +
                             std::to_string(Number(daemon, "generation")));
  }
}

}  // namespace

expected<admin_client> admin_client::FromOptions(const arguments& args) {
  admin_client client;
  client.endpoint_.address = args.Value("admin");
  client.endpoint_.authority = args.Value("authority");
  if (client.endpoint_.address.empty()) {
    return Problem(error_code::kInvalid,
                   "--admin is required: the address of a daemon's admin port");
  }
  const expected<std::string> token = ReadToken(args);
  if (!token) return tl::make_unexpected(token.error());
  client.token_ = *token;
  const expected<duration> timeout = TimeOption(args, "timeout", kDefaultTimeout);
  if (!timeout) return tl::make_unexpected(timeout.error());
  client.timeout_ = *timeout;
  return client;
}

expected<json> admin_client::Get(std::string_view path) const {
  return Call({"GET", std::string(path), {}, {}});
}

expected<json> admin_client::Post(std::string_view path, const json& body) const {
  return Call({"POST", std::string(path), {{"Content-Type", "application/json"}}, body.dump()});
}

expected<json> admin_client::Call(http_request request) const {
  if (!token_.empty()) request.headers.push_back({"Authorization", "Bearer " + token_});
  const expected<http_answer> answer = CallHttp(endpoint_, request, timeout_);
  if (!answer) {
    const bool read = request.method == "GET";
    return Problem(read ? error_code::kUnavailable : answer.error().code, answer.error().message);
  }
  if (answer->status >= 400)
    return Problem(ErrorCodeOfStatus(answer->status), ErrorMessageOf(*answer));
  json body = json::parse(answer->body, nullptr, false);
  if (body.is_discarded()) return Problem(error_code::kUnavailable, "the answer is not JSON");
  return body;
}

expected<spread_report> ReadSpread(const admin_client& client) {
  const expected<json> config = client.Get("/admin/config");
  if (!config) return tl::make_unexpected(config.error());
  spread_report report;
  report.current = generation(Number(*config, "generation"));
  report.lowest = generation(Number(*config, "lowest"));
  if (config->is_object() && config->contains("published")) {
    report.publish_id = Number((*config)["published"], "publish_id");
  }
  if (config->is_object() && config->contains("data_centres") &&
      (*config)["data_centres"].is_array()) {
    for (const json& entry : (*config)["data_centres"]) ReadDataCentre(entry, report);
  }
  return report;
}

std::string SpreadAsText(const spread_report& report, generation wanted) {
  std::string text = "lowest generation in force " + std::to_string(report.lowest.value()) +
                     " of " + std::to_string(wanted.value()) + ", " +
                     std::to_string(report.daemons) + " daemons";
  for (std::size_t i = 0; i < report.lagging.size() && i < kMaxLaggingShown; ++i) {
    text += (i == 0 ? "; lagging: " : ", ") + report.lagging[i];
  }
  return text;
}

}  // namespace hawthorndrum
