/// Load notices between daemons, as datagrams.
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
 * A notice says all that counts, so a lost datagram is made good by the next; a connection would
 * only add its repeats. Datagrams from hosts that are not in the directory are passed over.
 */
class notice_socket {
 public:
  using handler = std::function<void(const load_notice&)>;

  notice_socket(boost::asio::io_context& io, const daemon_directory& daemons,
                metrics_registry& metrics, handler received);

  expected<void> Open(std::string_view address);
  void Close();
  void Send(const outgoing_notice& outgoing);

 private:
  void Receive();
  bool IsKnown(const boost::asio::ip::udp::endpoint& sender) const;

  boost::asio::ip::udp::socket socket_;
  const daemon_directory& daemons_;
  metrics_registry& metrics_;
  handler received_;
  /** Larger than any notice. */
  std::array<std::uint8_t, 8192> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

}  // namespace hawthorndrum
