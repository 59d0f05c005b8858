/// Parsing of the query part of a request target.
#include "query.h"

#include <algorithm>
#include <charconv>

#include "base/url.h"

namespace hawthorndrum {

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
    std::string value(pair.substr(equals + 1));
    std::replace(value.begin(), value.end(), '+', ' ');
    return DecodeUrl(value);
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
