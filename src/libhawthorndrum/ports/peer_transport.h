/// The port to the links between daemons: whole frames of bytes over connections.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/strong_id.h"

namespace hawthorndrum {

/** One connection to another daemon, named by the transport and never used twice. */
using peer_link_id = strong_id<struct peer_link_tag>;

/** No frame is larger than this; a transport closes the link on a larger one. */
constexpr std::size_t kMaxFrameBytes = 2 * 1024 * 1024;

/**
 * Gets what happens on links, never from within a call to the transport. OnLinkDown is the last
 * event of a link, also of one that never came up, but it is not called for a link closed by Close.
 */
class peer_transport_listener {
 public:
  virtual ~peer_transport_listener() = default;
  /** `dialled` tells whether this daemon opened the link. */
  virtual void OnLinkUp(peer_link_id link, bool dialled) = 0;
  virtual void OnLinkFrame(peer_link_id link, boost::span<const std::uint8_t> frame) = 0;
  virtual void OnLinkDown(peer_link_id link) = 0;
};

/**
 * Opens links and carries frames over them, in order and whole, as long as the link is up.
 */
class peer_transport {
 public:
  virtual ~peer_transport() = default;
  /** Starts to open a link; OnLinkUp or OnLinkDown follows. */
  virtual peer_link_id Open(std::string_view address) = 0;
  virtual void Send(peer_link_id link, std::vector<std::uint8_t> frame) = 0;
  virtual void Close(peer_link_id link) = 0;
  /** Bytes given to Send that have not yet left. */
  virtual std::size_t Backlog(peer_link_id link) const = 0;
};

}  // namespace hawthorndrum
