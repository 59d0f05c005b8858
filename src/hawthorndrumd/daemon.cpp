/// One daemon: the core with the implementations of its ports.
#include "daemon.h"

#include <glog/logging.h>

#include <utility>
#include <variant>

#include "core.h"
#include "tls_contexts.h"

namespace hawthorndrum {

namespace {

constexpr duration kStopCheckInterval = milliseconds(50);
/** How many times a stopping daemon checks whether the last spans were sent, then it exits. */
constexpr int kMaxFlushChecks = 20;

http_limits LimitsOf(const connection_limits& settings) {
  http_limits limits;
  limits.body_bytes = settings.body_bytes;
  limits.header_bytes = static_cast<std::uint32_t>(settings.header_bytes);
  limits.connections = settings.connections;
  limits.idle_timeout = settings.idle_timeout;
  return limits;
}

http_limits AdminLimits() {
  http_limits limits;
  limits.connections = 64;
  limits.body_bytes = 64 * 1024;
  return limits;
}

}  // namespace

daemon::daemon(boost::asio::io_context& io, daemon_settings settings)
    : io_(io),
      settings_(std::move(settings)),
      incarnation_(random_.Draw()),
      ticks_(io, *this, clock_, metrics_),
      client_(io),
      calls_(client_),
      caller_endpoint_(ticks_, *this),
      admin_endpoint_(settings_.admin_token, metrics_),
      caller_server_(io, caller_endpoint_, random_, metrics_, "callers",
                     LimitsOf(settings_.limits)),
      admin_server_(io, admin_endpoint_, random_, metrics_, "admin", AdminLimits()),
      upstream_port_(client_, ticks_),
      engine_port_(calls_, ticks_, clock_),
      raw_store_(calls_, ticks_, settings_.object_api),
      host_list_(io, calls_, ticks_, random_, settings_.host_list),
      traces_(io, calls_, clock_, metrics_, settings_.trace_exporter, settings_.peers_address,
              settings_.trace_share),
      peer_links_(io),
      stop_timer_(io) {
  caller_endpoint_.SetCallerPort(caller_server_);
  admin_endpoint_.SetCallerPort(admin_server_);
  const core_ports ports{raw_store_, engine_port_, upstream_port_, caller_server_, peer_links_,
                         calls_,     clock_,       random_,        traces_,        metrics_};
  core_ = std::make_unique<core>(settings_, incarnation_, ports);
  core_->AddSystems(ticks_.loop());
  core_->AddSections(admin_endpoint_);
}

daemon::~daemon() {
  ticks_.Stop();
  peer_links_.Stop();
}

expected<void> daemon::Start() {
  auto started = StartServer(caller_server_, settings_.callers_tls, settings_.callers_address);
  if (!started) return started;
  started = StartServer(admin_server_, settings_.admin_tls, settings_.admin_address);
  if (!started) return started;
  started = peer_links_.Start(settings_.peers_address, core_->peer_listener());
  if (!started) return started;
  host_list_.Start();
  traces_.Start();
  ticks_.Start();
  LOG(INFO) << "started data_centre=" << settings_.data_centre
            << " callers=" << settings_.callers_address << " peers=" << settings_.peers_address
            << " admin=" << settings_.admin_address << " incarnation=" << incarnation_.value();
  return {};
}

expected<void> daemon::StartServer(http_server& server, const tls_settings& tls,
                                   const std::string& address) {
  if (tls.enabled()) {
    auto context = MakeTlsContext(tls);
    if (!context) return tl::make_unexpected(context.error());
    server.ReplaceTls(std::move(*context));
  }
  const auto port = server.Listen(address);
  if (!port) return tl::make_unexpected(port.error());
  return {};
}

expected<void> daemon::ReloadTls() {
  const std::pair<http_server*, const tls_settings*> servers[] = {
      {&caller_server_, &settings_.callers_tls}, {&admin_server_, &settings_.admin_tls}};
  for (const auto& [server, tls] : servers) {
    if (!tls->enabled()) continue;
    auto context = MakeTlsContext(*tls);
    if (!context) return tl::make_unexpected(context.error());
    server->ReplaceTls(std::move(*context));
  }
  LOG(INFO) << "TLS files reloaded";
  return {};
}

void daemon::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  LOG(INFO) << "stopping: reporting not ready, in_flight=" << core_->in_flight();
  stop_timer_.expires_after(settings_.stop_grace);
  stop_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed) RefuseNewRequests();
  });
}

void daemon::RefuseNewRequests() {
  core_->BeginStop();
  caller_server_.StopListening();
  StopWhenIdle();
}

void daemon::StopWhenIdle() {
  if (core_->in_flight() == 0 && caller_server_.busy_connections() == 0) {
    LOG(INFO) << "stopped: no requests in flight";
    traces_.Flush();
    return StopWhenFlushed(kMaxFlushChecks);
  }
  stop_timer_.expires_after(kStopCheckInterval);
  stop_timer_.async_wait([this](boost::system::error_code failed) {
    if (!failed) StopWhenIdle();
  });
}

void daemon::StopWhenFlushed(int checks_left) {
  if (!traces_.sending() || checks_left == 0) return io_.stop();
  stop_timer_.expires_after(kStopCheckInterval);
  stop_timer_.async_wait([this, checks_left](boost::system::error_code failed) {
    if (!failed) StopWhenFlushed(checks_left - 1);
  });
}

bool daemon::IsReady() const { return !stopping_ && core_->is_ready(); }

void daemon::Receive(event new_event) { core_->Receive(std::move(new_event)); }

}  // namespace hawthorndrum
