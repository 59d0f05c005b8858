/// HTTP client for tests.
#include "web.h"

#include <chrono>
#include <sstream>

namespace hawthorndrum {

namespace {

constexpr auto kTimeout = std::chrono::seconds(30);
constexpr auto kPollInterval = std::chrono::milliseconds(10);

/** Calls `each` with the JSON object of every data line. */
void ForEachData(const std::string& body, const std::function<void(const nlohmann::json&)>& each) {
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("data: {", 0) != 0) continue;
    const auto text = nlohmann::json::parse(line.substr(6), nullptr, false);
    if (text.is_object()) each(text);
  }
}

}  // namespace

std::string web_exchange::Tokens() const {
  std::string tokens;
  ForEachData(body, [&](const nlohmann::json& text) {
    if (!text.contains("choices")) return;
    const auto& delta = text["choices"][0]["delta"];
    if (delta.contains("content")) tokens += delta["content"].get<std::string>();
  });
  return tokens;
}

std::string web_exchange::LastEventId() const {
  const std::size_t whole = body.rfind("\n\n");
  if (whole == std::string::npos) return {};
  const std::size_t start = body.rfind("id: ", whole);
  if (start == std::string::npos) return {};
  return body.substr(start + 4, body.find('\n', start) - start - 4);
}

std::string web_exchange::Outcome() const {
  const auto whole = nlohmann::json::parse(body, nullptr, false);
  if (whole.is_object()) return whole.value("outcome", "");
  std::string outcome;
  ForEachData(body, [&](const nlohmann::json& text) {
    if (text.contains("outcome")) outcome = text["outcome"].get<std::string>();
    if (text.contains("error") && text["error"].is_object()) {
      outcome = text["error"].value("outcome", outcome);
    }
  });
  return outcome;
}

std::shared_ptr<web_exchange> web::Start(const std::string& address, http_request request) {
  http_call call;
  call.address = address;
  call.request = std::move(request);
  call.reuse = false;
  const http_call_id id = client_.Start(std::move(call), *this);
  return open_[id] = std::make_shared<web_exchange>();
}

web_exchange web::Call(const std::string& address, http_request request) {
  const auto exchange = Start(address, std::move(request));
  WaitUntil([&] { return exchange->over(); });
  return *exchange;
}

nlohmann::json web::GetJson(const std::string& address, const std::string& target) {
  const web_exchange exchange = Call(address, {"GET", target, {}, {}});
  const auto text = nlohmann::json::parse(exchange.body, nullptr, false);
  return text.is_discarded() ? nlohmann::json() : text;
}

bool web::WaitUntil(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    io_.restart();
    io_.run_for(kPollInterval);
  }
  return true;
}

void web::OnHead(http_call_id id, int status, std::vector<http_header> headers) {
  open_[id]->status = status;
  open_[id]->headers = std::move(headers);
}

void web::OnBody(http_call_id id, std::string bytes) { open_[id]->body += bytes; }

void web::OnFinished(http_call_id id) {
  open_[id]->finished = true;
  open_.erase(id);
}

void web::OnLost(http_call_id id, attempt_failure, bool) {
  open_[id]->lost = true;
  open_.erase(id);
}

}  // namespace hawthorndrum
