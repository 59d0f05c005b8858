/// Makes HTTP calls whose answers are buffered completely.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "base/byte_claim.h"
#include "http_call_listener.h"

namespace hawthorndrum {

class byte_budget;
class http_client;

/** The result of a buffered call. */
struct buffered_answer {
  bool received = false;
  /** Whether the call was given up because the answer was longer than the call allows. */
  bool is_too_long = false;
  /** False only when no byte of the request can have left this host. */
  bool bytes_sent = true;
  http_answer answer;
};

/**
 * Buffers the answer of each call and passes it to the call's handler when the call ends. What is
 * buffered counts towards the budget, if there is one.
 */
class buffered_calls : public http_call_listener {
 public:
  using handler = std::function<void(buffered_answer)>;

  explicit buffered_calls(http_client& client, std::shared_ptr<byte_budget> budget = nullptr)
      : client_(client), budget_(std::move(budget)) {}

  /** Gives the call up when its answer's body is longer than `longest_answer` bytes. */
  http_call_id Start(http_call call, std::size_t longest_answer, handler done);

  void OnHead(http_call_id id, int status, std::vector<http_header> headers) override;
  void OnBody(http_call_id id, std::string bytes) override;
  void OnFinished(http_call_id id) override;
  void OnLost(http_call_id id, attempt_failure failure, bool bytes_sent) override;

 private:
  struct open_call {
    handler done;
    std::size_t longest_answer = 0;
    buffered_answer collected;
    byte_claim held;
  };

  /** Removes the call; it has no handler if none of that id is open. */
  open_call Take(http_call_id id);

  http_client& client_;
  std::shared_ptr<byte_budget> budget_;
  std::unordered_map<http_call_id, open_call> calls_;
};

}  // namespace hawthorndrum
