/// Parses `ip:port` addresses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "base/error.h"

namespace hawthorndrum {

/** Parses `ip:port`, with IPv6 addresses in square brackets. Host names are not resolved. */
expected<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

}  // namespace hawthorndrum
