/// Sends messages about crashes to other daemons.
#pragma once

#include <string>

namespace hawthorndrum {

struct crash_message;

class crash_sender {
 public:
  virtual ~crash_sender() = default;

  /** Sends to a daemon's notices address; the message may be lost. */
  virtual void SendCrashes(const std::string& address, const crash_message& message) = 0;
};

}  // namespace hawthorndrum
