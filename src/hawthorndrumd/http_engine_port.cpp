/// Control calls to the engines over HTTP.
#include "http_engine_port.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/role_names.h"
#include "buffered_calls.h"
#include "ports/clock.h"
#include "ports/event_sink.h"

namespace hawthorndrum {

namespace {

using nlohmann::json;

constexpr duration kOrderTimeout = seconds(1);
constexpr duration kLoadTimeout = seconds(1);
/** A report names the engine's models and their adapters. */
constexpr std::size_t kLongestAnswer = 256 * 1024;

std::string OrderName(order_id id) { return std::to_string(id.value()); }

json ToJson(const engine_order& order) {
  return {{"order", OrderName(order.id)},
          {"term", order.term.value()},
          {"kind", OrderKindName(order.kind)},
          {"role", RoleName(order.role)},
          {"model", order.model},
          {"version", order.version},
          {"adapter", order.adapter}};
}

order_answer ToOrderAnswer(order_id id, const buffered_answer& ended) {
  order_answer result;
  result.id = id;
  if (!ended.received) {
    result.outcome = ended.bytes_sent ? order_outcome::kUnknown : order_outcome::kNotSent;
    return result;
  }
  switch (ended.answer.status) {
    case 202:
      result.outcome = order_outcome::kAccepted;
      return result;
    case 409: {
      result.outcome = order_outcome::kStaleTerm;
      const json text = json::parse(ended.answer.body, nullptr, false);
      if (text.is_object() && text.contains("term") && text["term"].is_number_unsigned()) {
        result.seen_term = lease_term(text["term"].get<std::uint64_t>());
      }
      return result;
    }
    case 423:
      result.outcome = order_outcome::kBusy;
      return result;
    default:
      return result;
  }
}

template <typename Number>
Number ReadNumber(const json& text, const char* name) {
  const auto found = text.find(name);
  return found != text.end() && found->is_number() ? found->get<Number>() : Number{};
}

std::string ReadText(const json& text, const char* name) {
  const auto found = text.find(name);
  return found != text.end() && found->is_string() ? found->get<std::string>() : std::string();
}

order_progress ProgressOf(std::string_view name) {
  if (name == "running") return order_progress::kRunning;
  if (name == "done") return order_progress::kDone;
  if (name == "failed") return order_progress::kFailed;
  return order_progress::kNone;
}

std::vector<loaded_model> ReadModels(const json& text) {
  std::vector<loaded_model> models;
  const auto found = text.find("models");
  if (found == text.end() || !found->is_array()) return models;
  for (const json& item : *found) {
    if (!item.is_object()) continue;
    loaded_model model;
    model.name = ReadText(item, "name");
    model.version = ReadText(item, "version");
    const auto adapters = item.find("adapters");
    if (adapters != item.end() && adapters->is_array()) {
      for (const json& adapter : *adapters) {
        if (adapter.is_string()) model.adapters.push_back(adapter.get<std::string>());
      }
    }
    models.push_back(std::move(model));
  }
  return models;
}

load_report ReadReport(upstream_id upstream, const json& text) {
  load_report report;
  report.upstream = upstream;
  report.engine_incarnation = ReadNumber<std::uint64_t>(text, "incarnation");
  report.role = RoleOf(ReadText(text, "role"));
  report.state = StateOf(ReadText(text, "state"));
  report.models = ReadModels(text);
  report.running = ReadNumber<std::uint32_t>(text, "running");
  report.queued = ReadNumber<std::uint32_t>(text, "queued");
  report.queued_prefill_tokens = ReadNumber<std::uint64_t>(text, "queued_prefill_tokens");
  report.prefill_tokens_per_second = ReadNumber<double>(text, "prefill_tokens_per_second");
  report.decode_tokens_per_second = ReadNumber<double>(text, "decode_tokens_per_second");
  report.kv_used_bytes = ReadNumber<std::uint64_t>(text, "kv_used_bytes");
  report.kv_total_bytes = ReadNumber<std::uint64_t>(text, "kv_total_bytes");
  report.term = lease_term(ReadNumber<std::uint64_t>(text, "term"));
  const std::string order = ReadText(text, "order");
  std::uint64_t number = 0;
  std::from_chars(order.data(), order.data() + order.size(), number);
  report.last_order = order_id(number);
  report.last_order_progress = ProgressOf(ReadText(text, "order_state"));
  return report;
}

}  // namespace

void http_engine_port::Order(std::string_view address, const engine_order& order,
                             order_listener& listener) {
  http_call call;
  call.address = std::string(address);
  call.request.method = "POST";
  call.request.target = "/v1/orders";
  call.request.headers.push_back({"Content-Type", "application/json"});
  call.request.body = ToJson(order).dump();
  call.reuse = false;
  call.may_send = [this, send_by = order.send_by] { return clock_.Now() < send_by; };
  call.total_timeout = kOrderTimeout;
  calls_.Start(std::move(call), kLongestAnswer,
               [this, id = order.id, target = &listener](buffered_answer ended) {
                 events_.Post(order_answered{ToOrderAnswer(id, ended), target});
               });
}

void http_engine_port::PollLoad(upstream_id upstream, std::string_view address) {
  http_call call;
  call.address = std::string(address);
  call.request.method = "GET";
  call.request.target = "/v1/load";
  call.total_timeout = kLoadTimeout;
  calls_.Start(std::move(call), kLongestAnswer, [this, upstream](buffered_answer ended) {
    const json text = ended.received && ended.answer.status == 200
                          ? json::parse(ended.answer.body, nullptr, false)
                          : json();
    if (!text.is_object()) return events_.Post(load_failed{upstream});
    events_.Post(load_reported{ReadReport(upstream, text)});
  });
}

}  // namespace hawthorndrum
