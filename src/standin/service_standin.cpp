/// Stand-in for a plain service's worker.
#include "service_standin.h"

#include <nlohmann/json.hpp>

#include "query.h"

namespace hawthorndrum {

std::uint64_t service_standin::runs(const std::string& key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? 0 : found->second;
}

void service_standin::Handle(standin_reply reply, const http_request& message) {
  const std::string_view path = TargetPath(message.target);
  if (path == "/lookup") return Lookup(reply, QueryValue(message.target, "key"));
  const std::string key(FindHeader(message.headers, "Idempotency-Key"));
  const std::string answer = Run(message, key);
  if (run_time_ == duration(0)) return reply.Answer(200, answer);
  After(run_time_, [reply, answer]() mutable { reply.Answer(200, answer); });
}

std::string service_standin::Run(const http_request& message, const std::string& key) {
  calls_ += 1;
  const nlohmann::json answer = {{"worker", name_},
                                 {"method", message.method},
                                 {"path", message.target},
                                 {"body", message.body},
                                 {"call", calls_}};
  std::string text = answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (!key.empty()) {
    runs_[key] += 1;
    answers_[key] = text;
  }
  return text;
}

void service_standin::Lookup(standin_reply reply, const std::string& key) const {
  const auto found = answers_.find(key);
  if (found == answers_.end()) return reply.Answer(200, R"({"state":"not_run"})");
  const nlohmann::json answer = {{"state", "done"}, {"status", 200}, {"body", found->second}};
  reply.Answer(200, answer.dump());
}

nlohmann::json service_standin::Stats() const { return {{"calls", calls_}, {"runs", runs_}}; }

}  // namespace hawthorndrum
