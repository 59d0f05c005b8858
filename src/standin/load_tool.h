/// Open-loop load generator that measures the answers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "http_call_listener.h"
#include "http_client.h"
#include "load_options.h"
#include "load_result.h"

namespace hawthorndrum {

/**
 * Invariant: calls_ holds the requests in flight.
 */
class load_tool : public http_call_listener {
 public:
  load_tool(boost::asio::io_context& io, load_options options);

  /** Sends all requests and runs the io_context until the last one ends. */
  load_result Run();

  void OnHead(http_call_id id, int status, std::vector<http_header> headers) override;
  void OnBody(http_call_id id, std::string bytes) override;
  void OnFinished(http_call_id id) override;
  void OnLost(http_call_id id, attempt_failure failure, bool bytes_sent) override;

 private:
  using steady = std::chrono::steady_clock;

  struct sent_call {
    steady::time_point due;
    steady::time_point last_token;
    int status = 0;
    bool has_token = false;
    std::string tail;
  };

  void SendDue();
  void SendOne(steady::time_point due);
  http_request MakeRequest(std::uint64_t number) const;
  void RecordTokens(sent_call& call, std::string_view bytes);
  static duration Since(steady::time_point start) {
    return std::chrono::duration_cast<duration>(steady::now() - start);
  }

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  load_options options_;
  http_client client_;
  load_result result_;
  steady::time_point start_;
  std::unordered_map<http_call_id, sent_call> calls_;
};

}  // namespace hawthorndrum
