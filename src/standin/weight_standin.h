/// Stand-in for the rate-limited weight store.
#pragma once

#include <chrono>
#include <cstdint>

#include "standin_server.h"

namespace hawthorndrum {

/**
 * Serves at most `reads_per_second` reads per second, using a token bucket, and answers 429 above
 * that rate.
 */
class weight_standin : public standin_server {
 public:
  weight_standin(boost::asio::io_context& io, double reads_per_second)
      : standin_server(io, "weights"), reads_per_second_(reads_per_second) {}

 protected:
  void Handle(standin_reply reply, const http_request& message) override;
  nlohmann::json Stats() const override;

 private:
  double reads_per_second_;
  double tokens_ = 1;
  std::chrono::steady_clock::time_point refilled_at_ = std::chrono::steady_clock::now();
  std::uint64_t reads_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace hawthorndrum
