/// HTTP server base class of all stand-ins, with fault injection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/metrics_registry.h"
#include "fault_settings.h"
#include "http_handler.h"
#include "http_server.h"
#include "ports/random_source.h"
#include "standin_reply.h"

namespace hawthorndrum {

/**
 * Serves one stand-in. A derived class handles calls and reports its counters.
 */
class standin_server : public http_handler {
 public:
  standin_server(boost::asio::io_context& io, std::string_view name);
  ~standin_server() override;

  /** Listens on `ip:port` and returns the port; port 0 selects a free one. */
  expected<std::uint16_t> Listen(std::string_view address);
  void SetFaults(fault_settings faults);
  const fault_settings& faults() const { return faults_; }

  void OnRequest(request_id request, http_request message) final;
  void OnCallerGone(request_id request) override {}

 protected:
  /** Executes a call and answers it, immediately or later. */
  virtual void Handle(standin_reply reply, const http_request& message) = 0;
  /** Returns the counters served at `/_stats`. */
  virtual nlohmann::json Stats() const = 0;

  /** Runs the action after the delay, unless the stand-in has been destroyed by then. */
  void After(duration time, std::function<void()> action);
  boost::asio::io_context& io() { return io_; }

 private:
  struct paused_call {
    request_id request;
    http_request message;
  };

  void OnFaultCall(request_id request, const http_request& message);
  void Dispatch(request_id request, http_request message);
  void DispatchLate(request_id request, http_request message);

  class seeded_random;

  boost::asio::io_context& io_;
  std::unique_ptr<seeded_random> random_;
  metrics_registry metrics_;
  http_server server_;
  fault_settings faults_;
  std::vector<paused_call> paused_;
  /** Timers hold a weak reference, so that none acts on a destroyed stand-in. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hawthorndrum
