/// HTTP requests and answers in the core, independent of any HTTP library.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/byte_claim.h"

namespace hawthorndrum {

struct http_header {
  std::string name;
  std::string value;
};

/** Returns the value of the first header with the name, ignoring case, or an empty view. */
std::string_view FindHeader(const std::vector<http_header>& headers, std::string_view name);

/** Replaces the value of the first header with the name, ignoring case, or adds the header. */
void SetHeader(std::vector<http_header>& headers, std::string_view name, std::string value);

/** `repeatable` tells whether the request may safely arrive twice. */
struct http_request {
  std::string method;
  std::string target;
  std::vector<http_header> headers;
  std::string body;
  bool repeatable = true;
  /** Counts the body while the request lives. */
  byte_claim held{};
};

struct http_answer {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

}  // namespace hawthorndrum
