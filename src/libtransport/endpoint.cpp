/// Parses `ip:port` addresses, and tells why one can't be used.
#include "endpoint.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace hawthorndrum {

expected<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address) {
  const auto invalid = [&] {
    return tl::make_unexpected(
        error{error_code::kInvalid, "not an ip:port address: " + std::string(address)});
  };
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return invalid();
  std::string_view host = address.substr(0, colon);
  const std::string_view port_text = address.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto [end, code] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (code != std::errc() || end != port_text.data() + port_text.size()) return invalid();
  boost::system::error_code failed;
  const auto ip = boost::asio::ip::make_address(std::string(host), failed);
  if (failed) return invalid();
  return boost::asio::ip::tcp::endpoint(ip, port);
}

error AddressError(std::string_view address, boost::system::error_code failed) {
  const bool in_use = failed == boost::asio::error::address_in_use;
  return {in_use ? error_code::kAddressInUse : error_code::kUnavailable,
          std::string(address) + ": " + failed.message()};
}

}  // namespace hawthorndrum
