/// Escaping text for use in a URL.
#pragma once

#include <string>
#include <string_view>

namespace hawthorndrum {

/** Percent-encodes everything but unreserved characters and slashes (RFC 3986). */
std::string EscapeUrl(std::string_view text);

}  // namespace hawthorndrum
