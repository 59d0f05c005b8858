/// HTTP client for tests; makes one or several calls at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http_call_listener.h"
#include "http_client.h"

namespace hawthorndrum {

/** The part of the answer to one call that has arrived so far. */
struct web_exchange {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
  bool finished = false;
  bool lost = false;

  bool over() const { return finished || lost; }
  /** Returns the concatenated tokens of a streamed completion. */
  std::string Tokens() const;
  /** Returns the id of the last complete event. */
  std::string LastEventId() const;
  bool HasDone() const { return body.find("data: [DONE]") != std::string::npos; }
  /** Returns the member `outcome` of a problem answer or error event; empty if there is none. */
  std::string Outcome() const;
};

/**
 * Makes calls and waits for conditions, with a timeout of 30 s each.
 */
class web : public http_call_listener {
 public:
  std::shared_ptr<web_exchange> Start(const std::string& address, http_request request);
  web_exchange Call(const std::string& address, http_request request);
  nlohmann::json GetJson(const std::string& address, const std::string& target);
  bool WaitUntil(const std::function<bool()>& done);
  boost::asio::io_context& io() { return io_; }

  void OnHead(http_call_id id, int status, std::vector<http_header> headers) override;
  void OnBody(http_call_id id, std::string bytes) override;
  void OnFinished(http_call_id id) override;
  void OnLost(http_call_id id, attempt_failure failure, bool bytes_sent) override;

 private:
  boost::asio::io_context io_;
  http_client client_{io_};
  std::unordered_map<http_call_id, std::shared_ptr<web_exchange>> open_;
};

}  // namespace hawthorndrum
