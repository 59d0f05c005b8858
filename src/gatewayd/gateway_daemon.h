/// A gateway daemon: the gateway with its sockets, clock and log.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "answer_router.h"
#include "base/byte_budget.h"
#include "base/error.h"
#include "base/metrics_registry.h"
#include "boot_time_clock.h"
#include "crashes/crash_exchange.h"
#include "gateway/daemon_directory.h"
#include "gateway/fleet_share.h"
#include "gateway/gateway.h"
#include "gateway/gateway_settings.h"
#include "gateway/notice_exchange.h"
#include "gateway_endpoint.h"
#include "http_client.h"
#include "http_server.h"
#include "http_upstream_calls.h"
#include "json_log.h"
#include "memory_watch.h"
#include "notice_socket.h"
#include "origins/origin_exchange.h"
#include "page_endpoint.h"
#include "port_opener.h"
#include "relay_endpoint.h"
#include "share_datagrams.h"
#include "system_random_source.h"
#include "systems/event_receiver.h"
#include "systems/system.h"
#include "tick_driver.h"
#include "unread_refusals.h"

namespace hawthorndrum {

class wire_dialect;

/**
 * Owns the sockets and the gateway; all of them run on the io_context's thread. The systems that
 * call the platform's store are created by the caller and added with Add.
 */
class gateway_daemon : public event_receiver, public system {
 public:
  gateway_daemon(boost::asio::io_context& io, const gateway_settings& settings,
                 const wire_dialect& dialect);
  ~gateway_daemon() override;

  /**
   * Opens the ports and logs the outcome. Addresses that are in use are waited for while the
   * io_context runs. A start that fails stops the io_context; the error of one that fails at once
   * is also returned.
   */
  expected<void> Start();
  /** Why the start failed; empty if it did not, or waits. */
  const std::optional<error>& start_error() const { return start_error_; }
  /**
   * Stops the io_context at once if the start still waits for an address. Else reports not ready
   * from now on. New connections are accepted until the load balancer has had
   * time to notice, and each connection closes after its answer. Requests that cannot end in time
   * are refused. The io_context stops when no request is in flight; what still is shortly before
   * the grace period ends is answered as failed.
   */
  void BeginStop();
  /** Adds a system that runs at each tick, after the gateway. */
  void Add(system& added) { ticks_.loop().Add(added); }

  void Receive(event new_event) override;
  void Run(time_point now) override;

  /** Answers other daemons' questions for a newer configuration. */
  void ShareConfig(relay_endpoint::config_answer answer) {
    relay_endpoint_.ShareConfig(std::move(answer), relay_server_);
  }

  gateway& served() { return gateway_; }
  daemon_directory& daemons() { return daemons_; }
  notice_socket& notices() { return notices_; }
  http_client& client() { return client_; }
  const std::shared_ptr<byte_budget>& budget() const { return budget_; }
  const clock& time() const { return clock_; }
  random_source& random() { return random_; }
  json_log& log() { return log_; }
  metrics_registry& metrics() { return metrics_; }
  /** Receives the answers to calls; they are dispatched at the next tick. */
  event_sink& events() { return ticks_; }
  bool stopping() const { return stopping_; }

 private:
  void AddPorts();
  /** Returns the error if it can't be mended by waiting. */
  expected<void> OpenPorts();
  void WaitForAddresses();
  void OnPortsOpen();
  /** Serves metrics as soon as their address is free; nothing else depends on it. */
  void OpenMetrics();
  http_answer ReadyPage() const;
  void ApplyLimits();
  void FollowDaemons(time_point now);
  void StopAccepting();
  /** Answers what is still in flight shortly before the grace period ends. */
  void EndInFlight();
  void StopWhenIdle();
  void EndProcess(const char* reason);

  boost::asio::io_context& io_;
  gateway_settings settings_;
  boot_time_clock clock_;
  system_random_source random_;
  metrics_registry metrics_;
  json_log log_;
  memory_watch memory_;
  tick_driver ticks_;
  http_client client_;
  daemon_directory daemons_;
  /** What is buffered for callers and other daemons, at all servers. */
  std::shared_ptr<byte_budget> budget_;
  unread_refusals refusals_;
  gateway_endpoint caller_endpoint_;
  relay_endpoint relay_endpoint_;
  page_endpoint ready_endpoint_;
  page_endpoint metrics_endpoint_;
  http_server caller_server_;
  /** Requests of other daemons, at the address for notices but over TCP. */
  http_server relay_server_;
  answer_router answers_;
  http_server ready_server_;
  http_server metrics_server_;
  http_upstream_calls upstream_calls_;
  notice_socket notices_;
  origin_exchange origins_;
  crash_exchange crashes_;
  gateway gateway_;
  notice_exchange exchange_;
  fleet_share retry_share_;
  double last_retry_share_ = 0;
  std::optional<time_point> daemons_read_at_;
  share_datagrams shares_;
  port_opener ports_;
  boost::asio::steady_timer start_timer_;
  std::optional<error> start_error_;
  bool started_ = false;
  bool metrics_open_ = false;
  bool lacks_metrics_ = false;
  boost::asio::steady_timer stop_timer_;
  bool stopping_ = false;
  bool ended_all_ = false;
  std::uint64_t limits_version_ = 0;
  time_point stop_began_;
  time_point swept_at_;
};

}  // namespace hawthorndrum
