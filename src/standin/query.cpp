/// Parsing of the query part of a request target.
#include "query.h"

#include <charconv>

namespace hawthorndrum {

namespace {

std::string Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ec == std::errc()) {
      decoded += static_cast<char>(value);
      i += 2;
      continue;
    }
    decoded += text[i] == '+' ? ' ' : text[i];
  }
  return decoded;
}

}  // namespace

std::string_view TargetPath(std::string_view target) { return target.substr(0, target.find('?')); }

std::string QueryValue(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return {};
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) continue;
    return Decode(pair.substr(equals + 1));
  }
  return {};
}

std::uint64_t QueryNumber(std::string_view target, std::string_view name, std::uint64_t otherwise) {
  const std::string text = QueryValue(target, name);
  std::uint64_t value = otherwise;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
  return code == std::errc() && end == text.data() + text.size() ? value : otherwise;
}

}  // namespace hawthorndrum
