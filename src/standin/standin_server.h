/// The HTTP side that all stand-ins share, with their fault switches.
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
 * Serves one stand-in. A derived class carries out calls and reports its counters.
 */
class standin_server : public http_handler {
 public:
  standin_server(boost::asio::io_context& io, std::string_view name);
  ~standin_server() override;

  /** Listens on `ip:port`; port 0 chooses a free one. Returns the port. */
  expected<std::uint16_t> Listen(std::string_view address);
  void SetFaults(fault_settings faults);
  const fault_settings& faults() const { return faults_; }

  void OnRequest(request_id request, http_request message) final;
  void OnCallerGone(request_id request) override {}

 protected:
  /** Carries out a call and answers it, now or later. */
  virtual void Handle(standin_reply reply, const http_request& message) = 0;
  /** The counters shown at `/_stats`. */
  virtual nlohmann::json Stats() const = 0;

  /** Runs the action after that time, unless the stand-in is gone by then. */
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
  /** Timers hold a weak reference, so that none acts on a stand-in that is gone. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hawthorndrum
