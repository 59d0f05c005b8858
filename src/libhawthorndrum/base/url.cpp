/// Escapes text for use in a URL.
#include "base/url.h"

#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace hawthorndrum {

namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.' || c == '~' || c == '/';
}

}  // namespace

std::string EscapeUrl(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      escaped += c;
      continue;
    }
    escaped += '%';
    boost::algorithm::hex(std::string(1, c), std::back_inserter(escaped));
  }
  return escaped;
}

}  // namespace hawthorndrum
