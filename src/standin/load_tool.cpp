/// Open-loop load generator that measures the answers.
#include "load_tool.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hawthorndrum {

namespace {

constexpr int kCharactersPerToken = 4;
constexpr std::string_view kEventEnd = "\n\n";

std::string PromptText(std::uint64_t number, int tokens) {
  std::string text = "prompt " + std::to_string(number) + " ";
  text.resize(static_cast<std::size_t>(tokens) * kCharactersPerToken, 'x');
  return text;
}

}  // namespace

load_tool::load_tool(boost::asio::io_context& io, load_options options)
    : io_(io), timer_(io), options_(std::move(options)), client_(io) {}

load_result load_tool::Run() {
  start_ = steady::now();
  SendDue();
  io_.run();
  return std::move(result_);
}

void load_tool::SendDue() {
  const auto interval = std::chrono::duration_cast<steady::duration>(
      std::chrono::duration<double>(1.0 / options_.requests_per_second));
  for (;;) {
    const auto due = start_ + interval * static_cast<std::int64_t>(result_.sent);
    if (due - start_ >= options_.time) return;
    if (due > steady::now()) {
      timer_.expires_at(due);
      timer_.async_wait([this](boost::system::error_code failed) {
        if (!failed) SendDue();
      });
      return;
    }
    SendOne(due);
  }
}

void load_tool::SendOne(steady::time_point due) {
  http_call call;
  call.address = options_.targets[result_.sent % options_.targets.size()];
  call.request = MakeRequest(result_.sent);
  result_.sent += 1;
  sent_call& sent = calls_[client_.Start(std::move(call), *this)];
  sent.due = due;
}

http_request load_tool::MakeRequest(std::uint64_t number) const {
  if (options_.plain) return {"GET", options_.path, {}, {}};
  const std::uint64_t prompt = number % static_cast<std::uint64_t>(options_.prompts);
  const nlohmann::json message = {{"role", "user"},
                                  {"content", PromptText(prompt, options_.prompt_tokens)}};
  const nlohmann::json body = {{"model", options_.model},
                               {"stream", true},
                               {"max_tokens", options_.output_tokens},
                               {"messages", nlohmann::json::array({message})}};
  return {"POST", options_.path, {{"Content-Type", "application/json"}}, body.dump()};
}

void load_tool::OnHead(http_call_id id, int status, std::vector<http_header>) {
  calls_[id].status = status;
}

void load_tool::OnBody(http_call_id id, std::string bytes) { RecordTokens(calls_[id], bytes); }

void load_tool::RecordTokens(sent_call& call, std::string_view bytes) {
  if (!call.has_token) {
    call.has_token = true;
    result_.first_byte.push_back(Since(call.due));
  } else if (bytes.find(kEventEnd) != std::string_view::npos) {
    result_.between_tokens.push_back(Since(call.last_token));
  }
  call.last_token = steady::now();
  constexpr std::size_t kTailKept = 64;
  call.tail += bytes;
  if (call.tail.size() > kTailKept) call.tail.erase(0, call.tail.size() - kTailKept);
}

void load_tool::OnFinished(http_call_id id) {
  const sent_call call = std::move(calls_[id]);
  calls_.erase(id);
  result_.statuses[call.status] += 1;
  const bool has_end = options_.plain || call.tail.find("data: [DONE]") != std::string::npos;
  if (call.status != 200 || !has_end) return;
  const duration time = Since(call.due);
  result_.whole += 1;
  result_.total.push_back(time);
  if (time <= options_.useful_within) result_.useful += 1;
}

void load_tool::OnLost(http_call_id id, attempt_failure, bool) {
  calls_.erase(id);
  result_.lost += 1;
}

}  // namespace hawthorndrum
