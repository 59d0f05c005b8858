/// Port to the links between daemons: connections that carry frames of bytes.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/strong_id.h"

namespace hawthorndrum {

/** Id of a connection to another daemon; assigned by the transport and never reused. */
using peer_link_id = strong_id<struct peer_link_tag>;

/** Maximum size of a frame; the transport closes the link on a larger one. */
constexpr std::size_t kMaxFrameBytes = 2 * 1024 * 1024;

/**
 * Receives link events, never from within a call to the transport. OnLinkDown is the last event of
 * a link, even of one that never came up, but it is not called for a link closed by Close.
 */
class peer_transport_listener {
 public:
  virtual ~peer_transport_listener() = default;
  /** `dialled` is true if this daemon opened the link. */
  virtual void OnLinkUp(peer_link_id link, bool dialled) = 0;
  virtual void OnLinkFrame(peer_link_id link, boost::span<const std::uint8_t> frame) = 0;
  virtual void OnLinkDown(peer_link_id link) = 0;
};

/**
 * Opens links and delivers complete frames over them, in order, while the link is up.
 */
class peer_transport {
 public:
  virtual ~peer_transport() = default;
  /** Starts opening a link; OnLinkUp or OnLinkDown follows. */
  virtual peer_link_id Open(std::string_view address) = 0;
  virtual void Send(peer_link_id link, std::vector<std::uint8_t> frame) = 0;
  virtual void Close(peer_link_id link) = 0;
  /** Returns the bytes passed to Send that have not been sent yet. */
  virtual std::size_t Backlog(peer_link_id link) const = 0;
};

}  // namespace hawthorndrum
