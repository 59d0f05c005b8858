/// Sends datagrams about usage to other daemons.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hawthorndrum {

class usage_sender {
 public:
  virtual ~usage_sender() = default;
  virtual void SendUsage(const std::string& address, const std::vector<std::uint8_t>& bytes) = 0;
};

}  // namespace hawthorndrum
