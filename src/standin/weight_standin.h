/// The stand-in of the rate-limited weight store.
#pragma once

#include <chrono>
#include <cstdint>

#include "standin_server.h"

namespace hawthorndrum {

/**
 * Gives at most `reads_per_second` weights a second; over that it answers 429.
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
  std::chrono::steady_clock::time_point filled_ = std::chrono::steady_clock::now();
  std::uint64_t reads_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace hawthorndrum
