/// Dispatches calls of a stand-in and applies the injected faults.
#include "standin_server.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace hawthorndrum {

namespace {

constexpr int kCrashExitCode = 3;

http_limits StandinLimits() {
  http_limits limits;
  limits.body_bytes = 64 * 1024 * 1024;
  return limits;
}

}  // namespace

class standin_server::seeded_random : public random_source {
 public:
  std::uint64_t Draw() override { return engine_() | 1; }

 private:
  std::mt19937_64 engine_{std::random_device{}()};
};

standin_server::standin_server(boost::asio::io_context& io, std::string_view name)
    : io_(io),
      random_(std::make_unique<seeded_random>()),
      server_(io, *this, *random_, metrics_, name, StandinLimits()) {}

standin_server::~standin_server() = default;

expected<std::uint16_t> standin_server::Listen(std::string_view address) {
  return server_.Listen(address);
}

void standin_server::SetFaults(fault_settings faults) {
  faults_ = std::move(faults);
  if (faults_.pause) return;
  for (paused_call& call : std::exchange(paused_, {})) {
    Dispatch(call.request, std::move(call.message));
  }
}

void standin_server::OnRequest(request_id request, http_request message) {
  if (message.target == "/_fault") return OnFaultCall(request, message);
  if (message.target == "/_stats")
    return standin_reply(server_, request).Answer(200, Stats().dump());
  if (!faults_.AppliesTo(message.target)) return Handle(standin_reply(server_, request), message);
  if (faults_.pause) return paused_.push_back({request, std::move(message)});
  if (faults_.times > 0) faults_.times -= 1;
  if (!faults_.crash_on.empty() && message.body.find(faults_.crash_on) != std::string::npos) {
    std::_Exit(kCrashExitCode);
  }
  if (faults_.delay == duration(0)) return Dispatch(request, std::move(message));
  After(faults_.delay, [this, request, moved = std::move(message)]() mutable {
    Dispatch(request, std::move(moved));
  });
}

void standin_server::OnFaultCall(request_id request, const http_request& message) {
  const auto text = nlohmann::json::parse(message.body, nullptr, false);
  if (!text.is_object()) return standin_reply(server_, request).Answer(400, "{}");
  SetFaults(ReadFaultSettings(text));
  standin_reply(server_, request).Answer(200, "{}");
}

void standin_server::Dispatch(request_id request, http_request message) {
  standin_reply reply(server_, request);
  if (faults_.hang) return;
  if (faults_.down) return reply.Answer(503, "{}");
  if (faults_.refuse) return reply.Answer(503, "{}", {{"X-Not-Started", "1"}});
  if (faults_.drop_before) return reply.Abort();
  if (faults_.late > duration(0)) return DispatchLate(request, std::move(message));
  if (faults_.drop_after) {
    reply.Abort();
    return Handle(standin_reply(), message);
  }
  Handle(reply, message);
}

void standin_server::DispatchLate(request_id request, http_request message) {
  standin_reply(server_, request).Abort();
  After(faults_.late, [this, moved = std::move(message)] { Handle(standin_reply(), moved); });
}

void standin_server::After(duration time, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, time);
  timer->async_wait([timer, alive = std::weak_ptr<bool>(alive_),
                     action = std::move(action)](boost::system::error_code failed) {
    if (!failed && alive.lock()) action();
  });
}

}  // namespace hawthorndrum
