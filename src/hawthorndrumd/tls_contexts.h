/// TLS contexts made from settings.
#pragma once

#include <memory>

#include "base/error.h"

namespace boost::asio::ssl {
class context;
}

namespace hawthorndrum {

struct tls_settings;

/**
 * Reads the certificate, key and authority. With an authority, clients must show a certificate that
 * it signed.
 */
expected<std::shared_ptr<boost::asio::ssl::context>> MakeTlsContext(const tls_settings& settings);

}  // namespace hawthorndrum
