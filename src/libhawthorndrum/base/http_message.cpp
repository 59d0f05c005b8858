/// Finds and sets headers.
#include "base/http_message.h"

#include <boost/algorithm/string/predicate.hpp>

namespace hawthorndrum {

std::string_view FindHeader(const std::vector<http_header>& headers, std::string_view name) {
  for (const http_header& header : headers) {
    if (boost::algorithm::iequals(header.name, name)) return header.value;
  }
  return {};
}

void SetHeader(std::vector<http_header>& headers, std::string_view name, std::string value) {
  for (http_header& header : headers) {
    if (!boost::algorithm::iequals(header.name, name)) continue;
    header.value = std::move(value);
    return;
  }
  headers.push_back({std::string(name), std::move(value)});
}

}  // namespace hawthorndrum
