/// Builds the HTTP request that is sent to an upstream for an attempt.
#pragma once

#include <vector>

#include "base/http_message.h"
#include "tables/attempt_row.h"
#include "tables/request_row.h"

namespace hawthorndrum {

/** Returns the headers without the hop-by-hop ones. */
std::vector<http_header> EndToEndHeaders(const std::vector<http_header>& headers);

http_request UpstreamRequest(const request_row& request, const attempt_row& attempt);

}  // namespace hawthorndrum
