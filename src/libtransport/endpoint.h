/// Parses `ip:port` addresses, and tells why one can't be used.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>

#include "base/error.h"

namespace hawthorndrum {

/** Parses `ip:port`, with IPv6 addresses in square brackets. Host names are not resolved. */
expected<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

/** The error of a socket that can't be opened at the address. */
error AddressError(std::string_view address, boost::system::error_code failed);

}  // namespace hawthorndrum
