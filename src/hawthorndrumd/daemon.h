/// One daemon: the core with the implementations of its ports.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "admin_endpoint.h"
#include "base/error.h"
#include "base/metrics_registry.h"
#include "boot_time_clock.h"
#include "buffered_calls.h"
#include "caller_endpoint.h"
#include "event_object_store.h"
#include "host_list_reader.h"
#include "http_client.h"
#include "http_engine_port.h"
#include "http_lookup_port.h"
#include "http_server.h"
#include "http_upstream_port.h"
#include "otlp_exporter.h"
#include "peer_link_server.h"
#include "readiness.h"
#include "system_random_source.h"
#include "systems/event_receiver.h"
#include "tables/daemon_settings.h"
#include "tables/upstream_table.h"
#include "tick_driver.h"

namespace hawthorndrum {

class core;

/**
 * Owns the sockets and the core. Everything runs on the thread that runs the io_context.
 */
class daemon : public event_receiver, public readiness {
 public:
  daemon(boost::asio::io_context& io, daemon_settings settings);
  ~daemon() override;

  /** Opens the ports and starts. Fails with the error of the first port that can't be opened. */
  expected<void> Start();
  /**
   * Begins a graceful stop: reports not ready at once, refuses new requests after the grace period,
   * and stops the io_context when the last request in flight has ended.
   */
  void BeginStop();
  /** Reloads the TLS files. Connections made from now on use them. */
  expected<void> ReloadTls();

  void Receive(event new_event) override;
  /** True once the core is ready, until a stop begins. */
  bool IsReady() const override;

 private:
  expected<void> StartServer(http_server& server, const tls_settings& tls,
                             const std::string& address);
  void RefuseNewRequests();
  void StopWhenIdle();
  void StopWhenFlushed(int checks_left);

  boost::asio::io_context& io_;
  daemon_settings settings_;
  boot_time_clock clock_;
  system_random_source random_;
  incarnation_id incarnation_;
  metrics_registry metrics_;
  tick_driver ticks_;
  http_client client_;
  buffered_calls calls_;
  caller_endpoint caller_endpoint_;
  admin_endpoint admin_endpoint_;
  http_server caller_server_;
  http_server admin_server_;
  http_upstream_port upstream_port_;
  http_engine_port engine_port_;
  event_object_store raw_store_;
  host_list_reader host_list_;
  otlp_exporter traces_;
  peer_link_server peer_links_;
  boost::asio::steady_timer stop_timer_;
  bool stopping_ = false;
  std::unique_ptr<core> core_;
};

}  // namespace hawthorndrum
