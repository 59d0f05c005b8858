/// A small blocking HTTP client.
#pragma once

#include <string>

#include "base/error.h"
#include "base/http_message.h"
#include "base/units.h"

namespace hawthorndrum {

/**
 * Where to connect. With an `authority` (PEM file of a CA) the connection uses TLS, and the
 * server's certificate must be signed by that CA.
 */
struct http_endpoint {
  std::string address;
  std::string authority;
};

/**
 * Makes one call over a connection of its own. The error's code is kUnavailable when no byte of
 * the request can have been sent, and kUnknownOutcome when the call may have been carried out.
 */
expected<http_answer> CallHttp(const http_endpoint& endpoint, const http_request& request,
                               duration timeout);

}  // namespace hawthorndrum
