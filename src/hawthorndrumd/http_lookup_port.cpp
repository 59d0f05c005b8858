/// Asks plain services over HTTP whether the request with a key was run.
#include "http_lookup_port.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/url.h"
#include "buffered_calls.h"
#include "ports/random_source.h"
#include "tables/config_view.h"

namespace hawthorndrum {

namespace {

using nlohmann::json;

constexpr duration kTimeout = seconds(2);
/** The answer contains that of the request, which a daemon buffers up to 8 MiB; escapes may double
 * it. */
constexpr std::size_t kLongestAnswer = 16 * 1024 * 1024;

/** Reads `{"state":"done|not_run","status":N,"body":"..."}`. */
lookup_answer ReadAnswer(request_id request, const buffered_answer& ended) {
  lookup_answer result;
  result.request = request;
  if (!ended.received || ended.answer.status != 200) return result;
  const json text = json::parse(ended.answer.body, nullptr, false);
  if (!text.is_object() || !text.contains("state")) return result;
  if (text["state"] == "not_run") result.state = lookup_state::kNotRun;
  if (text["state"] != "done") return result;
  const auto status = text.find("status");
  const auto body = text.find("body");
  if (status == text.end() || !status->is_number_integer()) return result;
  if (body == text.end() || !body->is_string()) return result;
  result.state = lookup_state::kDone;
  result.answer.status = status->get<int>();
  result.answer.headers = {{"Content-Type", "application/json"}};
  result.answer.body = body->get<std::string>();
  return result;
}

}  // namespace

void http_lookup_port::Ask(lookup_question question, lookup_listener& listener) {
  const upstream* worker = ChooseWorker(question);
  if (worker == nullptr) {
    lookup_answer none;
    none.request = question.request;
    pending_.push_back({std::move(none), &listener});
    return;
  }
  http_call call;
  call.address = worker->address;
  call.request.method = "GET";
  call.request.target = question.lookup_path + UrlTarget({}, {{"key", question.key}});
  call.total_timeout = kTimeout;
  calls_.Start(std::move(call), kLongestAnswer,
               [this, request = question.request, target = &listener](buffered_answer ended) {
                 pending_.push_back({ReadAnswer(request, ended), target});
               });
}

void http_lookup_port::DeliverAnswers() {
  std::deque<pending_delivery> taken;
  taken.swap(pending_);
  for (const pending_delivery& delivery : taken) delivery.listener->OnLookupAnswer(delivery.answer);
}

const upstream* http_lookup_port::ChooseWorker(const lookup_question& question) const {
  const auto service = config_.Find(question.service);
  if (!service) return nullptr;
  std::vector<const upstream*> workers;
  for (const upstream& row : upstreams_) {
    const bool in_pool = row.kind == host_kind::kService && row.pool == service->pool;
    if (in_pool && !row.leaving.any()) workers.push_back(&row);
  }
  return workers.empty() ? nullptr : workers[random_.Below(workers.size())];
}

}  // namespace hawthorndrum
