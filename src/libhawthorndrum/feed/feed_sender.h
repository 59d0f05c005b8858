/// Sends feed messages to other daemons.
#pragma once

#include <string>

namespace hawthorndrum {

struct feed_message;

class feed_sender {
 public:
  virtual ~feed_sender() = default;
  /** The message may be lost. */
  virtual void SendFeed(const std::string& address, const feed_message& message) = 0;
};

}  // namespace hawthorndrum
