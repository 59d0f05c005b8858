/// Creates TLS contexts from the settings.
#pragma once

#include <memory>

#include "base/error.h"

namespace boost::asio::ssl {
class context;
}

namespace hawthorndrum {

struct tls_settings;

/**
 * Loads the certificate, the key and, if set, the certificate authority. With an authority, clients
 * must present a certificate that it signed.
 */
expected<std::shared_ptr<boost::asio::ssl::context>> MakeTlsContext(const tls_settings& settings);

}  // namespace hawthorndrum
