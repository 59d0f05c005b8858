/// Exchanges load notices with other daemons as UDP datagrams.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "gateway/daemon_directory.h"
#include "gateway/load_notice.h"
#include "gateway/notice_exchange.h"

namespace boost::asio {
class io_context;
}

namespace hawthorndrum {

class metrics_registry;

/**
 * Each notice contains the sender's complete state, so the next one makes up for a lost datagram,
 * and the retransmissions of a connection would add nothing. Datagrams from hosts that are not in
 * the directory are ignored.
 */
class notice_socket {
 public:
  using handler = std::function<void(const load_notice&)>;

  notice_socket(boost::asio::io_context& io, const daemon_directory& daemons,
                metrics_registry& metrics, handler on_notice);

  expected<void> Open(std::string_view address);
  void Close();
  void Send(const outgoing_notice& outgoing);

 private:
  void Receive();
  bool IsKnown(const boost::asio::ip::udp::endpoint& sender) const;

  boost::asio::ip::udp::socket socket_;
  const daemon_directory& daemons_;
  metrics_registry& metrics_;
  handler on_notice_;
  /** Larger than any notice. */
  std::array<std::uint8_t, 8192> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

}  // namespace hawthorndrum
