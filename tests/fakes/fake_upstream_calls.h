/// Records upstream calls instead of sending them.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "gateway/upstream_calls.h"

namespace hawthorndrum {

class fake_upstream_calls : public upstream_calls {
 public:
  struct record {
    upstream_call call;
    bool cancelled = false;
  };

  void Send(upstream_call call) override { sent.push_back({std::move(call), false}); }
  void Cancel(attempt_id attempt) override {
    for (record& each : sent) each.cancelled = each.cancelled || each.call.attempt == attempt;
  }
  void Probe(upstream_id upstream, const std::string&) override { probes.push_back(upstream); }
  void Notify(const std::string& address, http_request request) override {
    notified.emplace_back(address, std::move(request));
  }

  std::vector<record> sent;
  std::vector<upstream_id> probes;
  std::vector<std::pair<std::string, http_request>> notified;
};

}  // namespace hawthorndrum
