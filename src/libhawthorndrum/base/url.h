/// Escapes text for use in a URL.
#pragma once

#include <string>
#include <string_view>

namespace hawthorndrum {

/** Percent-encodes everything except unreserved characters (RFC 3986) and slashes. */
std::string EscapeUrl(std::string_view text);

}  // namespace hawthorndrum
