/// Reading `ip:port` addresses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "base/error.h"

namespace hawthorndrum {

/** Reads `ip:port`; an IPv6 address stands in square brackets. Names are not looked up. */
expected<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

}  // namespace hawthorndrum
