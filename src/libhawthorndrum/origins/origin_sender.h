/// Sends messages about origins to other daemons.
#pragma once

#include <string>

namespace hawthorndrum {

struct origin_message;

class origin_sender {
 public:
  virtual ~origin_sender() = default;

  /** Sends to a daemon's notices address; the message may be lost. */
  virtual void SendOrigins(const std::string& address, const origin_message& message) = 0;
};

}  // namespace hawthorndrum
