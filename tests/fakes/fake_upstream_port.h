/// An upstream port that records what was sent.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "ports/upstream_port.h"

namespace hawthorndrum {

struct sent_attempt {
  attempt_id attempt;
  std::string address;
  http_request request;
  bool cancelled = false;
  /** Set by the test once it has ended the attempt. */
  bool ended = false;
};

class fake_upstream_port : public upstream_port {
 public:
  void Send(attempt_id attempt, std::string_view address, http_request request) override {
    sent_attempt one{attempt, std::string(address), std::move(request), false, false};
    if (on_send) return on_send(std::move(one));
    sent.push_back(std::move(one));
  }
  void Cancel(attempt_id attempt) override {
    if (on_cancel) return on_cancel(attempt);
    for (sent_attempt& one : sent) {
      if (one.attempt == attempt) one.cancelled = true;
    }
  }

  std::vector<sent_attempt> sent;
  /** Where attempts go instead of `sent`, when set. */
  std::function<void(sent_attempt)> on_send;
  std::function<void(attempt_id)> on_cancel;
};

}  // namespace hawthorndrum
