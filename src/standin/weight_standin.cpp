/// Stand-in for the rate-limited weight store.
#include "weight_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hawthorndrum {

void weight_standin::Handle(standin_reply reply, const http_request& message) {
  if (message.target.rfind("/v1/weights/", 0) != 0) return reply.Answer(404, "{}");
  const auto now = std::chrono::steady_clock::now();
  const double passed = std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  tokens_ = std::min(std::max(1.0, reads_per_second_), tokens_ + passed * reads_per_second_);
  if (tokens_ < 1) {
    refused_ += 1;
    return reply.Answer(429, "{}", {{"Retry-After", "1"}});
  }
  tokens_ -= 1;
  reads_ += 1;
  reply.Answer(200, R"({"weights":"stand-in"})");
}

nlohmann::json weight_standin::Stats() const { return {{"reads", reads_}, {"refused", refused_}}; }

}  // namespace hawthorndrum
