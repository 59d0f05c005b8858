/// Builds and reads the targets of requests whose parts may have any characters.
#include "base/url.h"

#include <algorithm>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <cctype>
#include <charconv>

namespace hawthorndrum {

namespace {

namespace urls = boost::urls;

std::string Escape(std::string_view text, const urls::grammar::lut_chars& kept) {
  return urls::encode({text.data(), text.size()}, kept);
}

}  // namespace

std::string UrlTarget(std::initializer_list<std::string_view> segments,
                      std::initializer_list<query_parameter> query) {
  std::string target;
  for (const std::string_view segment : segments)
    target += "/" + Escape(segment, urls::unreserved_chars);
  char separator = '?';
  for (const query_parameter& each : query) {
    target += separator + Escape(each.name, urls::unreserved_chars) + "=" +
              Escape(each.value, urls::unreserved_chars);
    separator = '&';
  }
  return target;
}

std::string EscapePath(std::string_view path) { return Escape(path, urls::unreserved_chars + '/'); }

bool IsUnreserved(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return urls::unreserved_chars(c); });
}

std::string DecodeUrl(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_encoded = text[i] == '%' && i + 2 < text.size() &&
                            std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                            std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
    if (!is_encoded) {
      decoded += text[i];
      continue;
    }
    unsigned value = 0;
    std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
    decoded += static_cast<char>(value);
    i += 2;
  }
  return decoded;
}

}  // namespace hawthorndrum
