/// Links between daemons over websocketpp: listens on the peers' port and dials other daemons.
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
 * Implements the peer transport with binary websocket frames, all on one io_context and its one
 * thread. A link accepts only small frames until its first few have passed, so that a stranger
 * can't make the daemon hold much.
 */
class peer_link_server : public peer_transport {
 public:
  explicit peer_link_server(boost::asio::io_context& io);
  ~peer_link_server() override;

  /** Listens on `address` (`ip:port`; port 0 takes a free one) and reports to the listener. */
  expected<void> Start(std::string_view address, peer_transport_listener& listener);
  /** Closes all links and stops listening; nothing is reported afterwards. */
  void Stop();
  /** The port listened on. */
  std::uint16_t port() const;
  std::size_t link_count() const;

  peer_link_id Open(std::string_view address) override;
  void Send(peer_link_id link, std::vector<std::uint8_t> frame) override;
  void Close(peer_link_id link) override;
  std::size_t Backlog(peer_link_id link) const override;

 private:
  struct sides;
  std::unique_ptr<sides> sides_;
};

}  // namespace hawthorndrum
