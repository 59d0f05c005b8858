/// WebSocket links between daemons with websocketpp.
#include "peer_link_server.h"

#include <boost/asio.hpp>
#include <unordered_map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace hawthorndrum {

namespace {

constexpr long kHandshakeTimeoutMs = 3000;
/** The maximum frame size until a link has received kFirstFrames frames. */
constexpr std::size_t kMaxFirstFrameBytes = 1024;
constexpr int kFirstFrames = 3;
/** A link with more unsent bytes than this is closed. */
constexpr std::size_t kMaxBacklogBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxLinks = 1024;

struct ip_port {
  std::string ip;
  std::uint16_t port = 0;
};

expected<ip_port> ParseAddress(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  const error bad{error_code::kInvalid, "not an ip:port address: " + std::string(address)};
  if (colon == std::string_view::npos || colon + 1 >= address.size()) {
    return tl::make_unexpected(bad);
  }
  unsigned long port = 0;
  for (const char c : address.substr(colon + 1)) {
    if (c < '0' || c > '9' || port > 65535) return tl::make_unexpected(bad);
    port = port * 10 + static_cast<unsigned long>(c - '0');
  }
  if (port > 65535) return tl::make_unexpected(bad);
  return ip_port{std::string(address.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

/** The links of one endpoint type: either all accepted or all dialled. */
template <typename Endpoint>
class link_set {
 public:
  using connection_ptr = typename Endpoint::connection_ptr;

  link_set(boost::asio::io_context& io, std::uint64_t& last_link, bool dialled)
      : last_link_(last_link), dialled_(dialled) {
    endpoint_.clear_access_channels(websocketpp::log::alevel::all);
    endpoint_.clear_error_channels(websocketpp::log::elevel::all);
    endpoint_.init_asio(&io);
    endpoint_.set_open_handshake_timeout(kHandshakeTimeoutMs);
    endpoint_.set_max_message_size(kMaxFirstFrameBytes);
    endpoint_.set_tcp_post_init_handler([this](websocketpp::connection_hdl handle) {
      boost::system::error_code ignored;
      websocketpp::lib::error_code failed;
      const connection_ptr connection = endpoint_.get_con_from_hdl(handle, failed);
      if (!failed) {
        connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
      }
    });
  }

  Endpoint& endpoint() { return endpoint_; }
  std::size_t size() const { return links_.size(); }
  void set_listener(peer_transport_listener* listener) { listener_ = listener; }

  peer_link_id Add(const connection_ptr& connection) {
    const peer_link_id id(++last_link_);
    links_[id] = {connection, 0};
    connection->set_open_handler([this, id](websocketpp::connection_hdl) {
      if (links_.count(id) != 0 && listener_ != nullptr) listener_->OnLinkUp(id, dialled_);
    });
    connection->set_message_handler(
        [this, id](websocketpp::connection_hdl, typename Endpoint::message_ptr message) {
          HandleFrame(id, message->get_opcode(), message->get_payload());
        });
    connection->set_fail_handler([this, id](websocketpp::connection_hdl) { OnClosed(id); });
    connection->set_close_handler([this, id](websocketpp::connection_hdl) { OnClosed(id); });
    return id;
  }

  bool Send(peer_link_id id, const std::vector<std::uint8_t>& frame) {
    const auto found = links_.find(id);
    if (found == links_.end()) return false;
    const connection_ptr connection = found->second.connection;
    websocketpp::lib::error_code failed;
    if (connection->get_buffered_amount() > kMaxBacklogBytes) {
      failed = websocketpp::error::make_error_code(websocketpp::error::send_queue_full);
    } else {
      failed = connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
    }
    if (failed) TerminateLater(connection);
    return true;
  }

  /** Closes the link; its handlers are not called any more. Returns false for an unknown link. */
  bool Close(peer_link_id id) {
    const auto found = links_.find(id);
    if (found == links_.end()) return false;
    const connection_ptr connection = found->second.connection;
    links_.erase(found);
    connection->set_open_handler(nullptr);
    connection->set_message_handler(nullptr);
    connection->set_fail_handler(nullptr);
    connection->set_close_handler(nullptr);
    TerminateLater(connection);
    return true;
  }

  void CloseAll() {
    listener_ = nullptr;
    while (!links_.empty()) Close(links_.begin()->first);
  }

  std::size_t Backlog(peer_link_id id) const {
    const auto found = links_.find(id);
    return found == links_.end() ? 0 : found->second.connection->get_buffered_amount();
  }

 private:
  struct entry {
    connection_ptr connection;
    int frames = 0;
  };

  /** Posts the termination, so that no handler runs from within the calling function. */
  void TerminateLater(const connection_ptr& connection) {
    boost::asio::post(endpoint_.get_io_service(), [connection] {
      connection->terminate(websocketpp::error::make_error_code(websocketpp::error::invalid_state));
    });
  }

  void HandleFrame(peer_link_id id, websocketpp::frame::opcode::value opcode,
                   const std::string& payload) {
    const auto found = links_.find(id);
    if (found == links_.end() || listener_ == nullptr) return;
    if (opcode != websocketpp::frame::opcode::binary) {
      TerminateLater(found->second.connection);
      return;
    }
    if (++found->second.frames == kFirstFrames) {
      found->second.connection->set_max_message_size(kMaxFrameBytes);
    }
    listener_->OnLinkFrame(id,
                           {reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size()});
  }

  void OnClosed(peer_link_id id) {
    if (links_.erase(id) != 0 && listener_ != nullptr) listener_->OnLinkDown(id);
  }

  Endpoint endpoint_;
  std::uint64_t& last_link_;
  bool dialled_;
  peer_transport_listener* listener_ = nullptr;
  std::unordered_map<peer_link_id, entry> links_;
};

}  // namespace

struct peer_link_server::impl {
  explicit impl(boost::asio::io_context& context)
      : io(context), accepted(context, last_link, false), dialled(context, last_link, true) {}

  boost::asio::io_context& io;
  std::uint64_t last_link = 0;
  std::uint16_t port = 0;
  /** Shared with posted handlers, which may outlive this object. */
  std::shared_ptr<bool> stopped = std::make_shared<bool>(false);
  peer_transport_listener* listener = nullptr;
  link_set<websocketpp::server<websocketpp::config::asio>> accepted;
  link_set<websocketpp::client<websocketpp::config::asio_client>> dialled;
};

peer_link_server::peer_link_server(boost::asio::io_context& io)
    : impl_(std::make_unique<impl>(io)) {}

peer_link_server::~peer_link_server() { Stop(); }

expected<void> peer_link_server::Start(std::string_view address,
                                       peer_transport_listener& listener) {
  const expected<ip_port> parsed = ParseAddress(address);
  if (!parsed) return tl::make_unexpected(parsed.error());
  impl_->listener = &listener;
  impl_->accepted.set_listener(&listener);
  impl_->dialled.set_listener(&listener);
  auto& server = impl_->accepted.endpoint();
  server.set_reuse_addr(true);
  server.set_validate_handler([this, &server](websocketpp::connection_hdl handle) {
    if (impl_->accepted.size() >= kMaxLinks) return false;
    impl_->accepted.Add(server.get_con_from_hdl(handle));
    return true;
  });
  boost::system::error_code bad_ip;
  const auto ip = boost::asio::ip::make_address(parsed->ip, bad_ip);
  if (bad_ip) return tl::make_unexpected(error{error_code::kInvalid, bad_ip.message()});
  websocketpp::lib::error_code failed;
  server.listen(boost::asio::ip::tcp::endpoint(ip, parsed->port), failed);
  if (failed) return tl::make_unexpected(error{error_code::kUnavailable, failed.message()});
  server.start_accept(failed);
  if (failed) return tl::make_unexpected(error{error_code::kUnavailable, failed.message()});
  boost::system::error_code ignored;
  impl_->port = server.get_local_endpoint(ignored).port();
  return {};
}

void peer_link_server::Stop() {
  *impl_->stopped = true;
  websocketpp::lib::error_code ignored;
  if (impl_->accepted.endpoint().is_listening()) {
    impl_->accepted.endpoint().stop_listening(ignored);
  }
  impl_->accepted.CloseAll();
  impl_->dialled.CloseAll();
}

std::uint16_t peer_link_server::port() const { return impl_->port; }

std::size_t peer_link_server::link_count() const {
  return impl_->accepted.size() + impl_->dialled.size();
}

peer_link_id peer_link_server::Open(std::string_view address) {
  websocketpp::lib::error_code failed;
  const auto connection =
      impl_->dialled.endpoint().get_connection("ws://" + std::string(address) + "/peer", failed);
  if (failed) {
    const peer_link_id id(++impl_->last_link);
    boost::asio::post(impl_->io, [stopped = impl_->stopped, listener = impl_->listener, id] {
      if (!*stopped && listener != nullptr) listener->OnLinkDown(id);
    });
    return id;
  }
  const peer_link_id id = impl_->dialled.Add(connection);
  impl_->dialled.endpoint().connect(connection);
  return id;
}

void peer_link_server::Send(peer_link_id link, std::vector<std::uint8_t> frame) {
  if (!impl_->accepted.Send(link, frame)) impl_->dialled.Send(link, frame);
}

void peer_link_server::Close(peer_link_id link) {
  if (!impl_->accepted.Close(link)) impl_->dialled.Close(link);
}

std::size_t peer_link_server::Backlog(peer_link_id link) const {
  return impl_->accepted.Backlog(link) + impl_->dialled.Backlog(link);
}

}  // namespace hawthorndrum
