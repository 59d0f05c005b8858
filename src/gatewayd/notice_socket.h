/// Exchanges load notices, the origins of streams and evidence on crashes with other daemons as UDP
/// datagrams.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "crashes/crash_message.h"
#include "crashes/crash_sender.h"
#include "datagram_handler.h"
#include "gateway/daemon_directory.h"
#include "gateway/load_notice.h"
#include "gateway/notice_exchange.h"
#include "origins/origin_message.h"
#include "origins/origin_sender.h"

namespace boost::asio {
class io_context;
}

namespace hawthorndrum {

class clock;
class metrics_registry;

/**
 * Each notice contains the sender's complete state, so the next one makes up for a lost datagram,
 * and the retransmissions of a connection would add nothing. Datagrams from hosts that the
 * directory does not know are ignored, and make it be read again.
 */
class notice_socket : public origin_sender, public crash_sender {
 public:
  using notice_handler = std::function<void(const load_notice&)>;
  /** Receives a message and the address of its sender. */
  using origin_handler = std::function<void(const origin_message&, const std::string&)>;

  using crash_handler = std::function<void(const crash_message&, const std::string&)>;

  notice_socket(boost::asio::io_context& io, daemon_directory& daemons, const clock& time,
                metrics_registry& metrics, notice_handler on_notice, origin_handler on_origins,
                crash_handler on_crashes);

  /** Adds a handler for further kinds of datagrams; called before Open. */
  void Add(datagram_handler& handler) { handlers_.push_back(&handler); }
  /** Sends a datagram of one of those kinds; at most 8 KB. */
  void SendTo(const std::string& address, const std::vector<std::uint8_t>& bytes);

  expected<void> Open(std::string_view address);
  void Close();
  void Send(const outgoing_notice& outgoing);
  void SendOrigins(const std::string& address, const origin_message& message) override;
  void SendCrashes(const std::string& address, const crash_message& message) override;

 private:
  void Receive();
  void Dispatch(boost::span<const std::uint8_t> bytes);

  boost::asio::ip::udp::socket socket_;
  daemon_directory& daemons_;
  const clock& time_;
  metrics_registry& metrics_;
  notice_handler on_notice_;
  origin_handler on_origins_;
  crash_handler on_crashes_;
  std::vector<datagram_handler*> handlers_;
  /** Larger than any notice. */
  std::array<std::uint8_t, 8192> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
};

}  // namespace hawthorndrum
