/// Sends and receives datagrams of other daemons over UDP.
#include "notice_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "base/metrics_registry.h"
#include "endpoint.h"
#include "fatal_signals.h"
#include "ports/clock.h"

namespace hawthorndrum {

using boost::asio::ip::udp;

notice_socket::notice_socket(boost::asio::io_context& io, daemon_directory& daemons,
                             const clock& time, metrics_registry& metrics, notice_handler on_notice,
                             origin_handler on_origins, crash_handler on_crashes)
    : socket_(io),
      daemons_(daemons),
      time_(time),
      metrics_(metrics),
      on_notice_(std::move(on_notice)),
      on_origins_(std::move(on_origins)),
      on_crashes_(std::move(on_crashes)) {}

expected<void> notice_socket::Open(std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return tl::make_unexpected(endpoint.error());
  const udp::endpoint own(endpoint->address(), endpoint->port());
  boost::system::error_code failed;
  socket_.open(own.protocol(), failed);
  if (!failed) socket_.bind(own, failed);
  if (!failed) socket_.non_blocking(true, failed);
  if (failed) {
    Close();
    return tl::make_unexpected(AddressError(address, failed));
  }
  Receive();
  return {};
}

void notice_socket::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void notice_socket::SendTo(const std::string& address, const std::vector<std::uint8_t>& bytes) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return;
  boost::system::error_code failed;
  socket_.send_to(boost::asio::buffer(bytes), {endpoint->address(), endpoint->port()}, 0, failed);
  if (failed) metrics_.Counter("notices_unsent_total").Add();
}

void notice_socket::Send(const outgoing_notice& outgoing) {
  const std::vector<std::uint8_t> bytes = EncodeLoadNotice(outgoing.notice);
  for (const std::string& address : outgoing.addresses) SendTo(address, bytes);
  metrics_.Counter("notices_sent_total").Add(outgoing.addresses.size());
  metrics_.Counter("notice_bytes_sent_total").Add(outgoing.addresses.size() * bytes.size());
}

void notice_socket::SendOrigins(const std::string& address, const origin_message& message) {
  const std::vector<std::uint8_t> bytes = EncodeOriginMessage(message);
  SendTo(address, bytes);
  metrics_.Counter("origin_messages_sent_total").Add();
  metrics_.Counter("origin_bytes_sent_total").Add(bytes.size());
}

void notice_socket::SendCrashes(const std::string& address, const crash_message& message) {
  const std::vector<std::uint8_t> bytes = EncodeCrashMessage(message, time_.Now());
  SendTo(address, bytes);
  metrics_.Counter("crash_messages_sent_total").Add();
  metrics_.Counter("crash_bytes_sent_total").Add(bytes.size());
}

void notice_socket::Dispatch(boost::span<const std::uint8_t> bytes) {
  SetActivity("datagram");
  const std::string ip = sender_.address().to_string();
  const bool known = daemons_.IsKnownHost(ip);
  if (!known) daemons_.RequestRefresh();
  if (known) {
    if (const auto notice = DecodeLoadNotice(bytes)) return on_notice_(*notice);
    if (const auto origins = DecodeOriginMessage(bytes)) {
      return on_origins_(*origins, ip + ":" + std::to_string(sender_.port()));
    }
    if (const auto crashes = DecodeCrashMessage(bytes, time_.Now())) {
      return on_crashes_(*crashes, ip + ":" + std::to_string(sender_.port()));
    }
    for (datagram_handler* each : handlers_) {
      if (each->OnDatagram(bytes, ip + ":" + std::to_string(sender_.port()))) return;
    }
  }
  metrics_.Counter("notices_passed_over_total").Add();
}

void notice_socket::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](boost::system::error_code failed, std::size_t size) {
        if (failed == boost::asio::error::operation_aborted || !socket_.is_open()) return;
        if (!failed) Dispatch({buffer_.data(), size});
        Receive();
      });
}

}  // namespace hawthorndrum
