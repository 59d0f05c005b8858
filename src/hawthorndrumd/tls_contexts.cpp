/// Creates TLS contexts from the settings.
#include "tls_contexts.h"

#include <boost/asio/ssl/context.hpp>

#include "tables/daemon_settings.h"

namespace hawthorndrum {

namespace ssl = boost::asio::ssl;

expected<std::shared_ptr<ssl::context>> MakeTlsContext(const tls_settings& settings) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  boost::system::error_code failed;
  context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 |
                           ssl::context::no_sslv3 | ssl::context::no_tlsv1 |
                           ssl::context::no_tlsv1_1,
                       failed);
  if (!failed) context->use_certificate_chain_file(settings.certificate, failed);
  if (!failed) context->use_private_key_file(settings.key, ssl::context::pem, failed);
  if (!failed && !settings.authority.empty()) {
    context->load_verify_file(settings.authority, failed);
    if (!failed) {
      context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, failed);
    }
  }
  if (failed) {
    return tl::make_unexpected(
        error{error_code::kInvalid, "can't load the TLS files: " + failed.message()});
  }
  return context;
}

}  // namespace hawthorndrum
