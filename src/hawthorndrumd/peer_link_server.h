/// WebSocket links between daemons with websocketpp: listens on the peers' port and dials others.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "ports/peer_transport.h"

namespace hawthorndrum {

/**
 * Implements the peer transport with binary WebSocket frames. Everything runs on one io_context
 * with one thread. A link accepts only small frames until the first few have arrived, so that an
 * unauthenticated client can't make the daemon buffer much data.
 */
class peer_link_server : public peer_transport {
 public:
  explicit peer_link_server(boost::asio::io_context& io);
  ~peer_link_server() override;

  /** Listens on `address` (`ip:port`; port 0 chooses a free one) and reports to the listener. */
  expected<void> Start(std::string_view address, peer_transport_listener& listener);
  /** Closes all links and stops listening. The listener is not called afterwards. */
  void Stop();
  /** The port that the server listens on. */
  std::uint16_t port() const;
  std::size_t link_count() const;

  peer_link_id Open(std::string_view address) override;
  void Send(peer_link_id link, std::vector<std::uint8_t> frame) override;
  void Close(peer_link_id link) override;
  std::size_t Backlog(peer_link_id link) const override;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace hawthorndrum
