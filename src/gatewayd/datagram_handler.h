/// Receives datagrams of other daemons.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <string>

namespace hawthorndrum {

class datagram_handler {
 public:
  virtual ~datagram_handler() = default;
  /** Returns whether the datagram is of a kind and version that this handler reads. */
  virtual bool OnDatagram(boost::span<const std::uint8_t> bytes, const std::string& from) = 0;
};

}  // namespace hawthorndrum
