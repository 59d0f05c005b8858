/// HTTP requests and answers as the core sees them, free of any HTTP library.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hawthorndrum {

struct http_header {
  std::string name;
  std::string value;
};

/** Returns the value of the first header of that name, ignoring case, or an empty view. */
std::string_view FindHeader(const std::vector<http_header>& headers, std::string_view name);

/** Replaces the header of that name, ignoring case, or adds it. */
void SetHeader(std::vector<http_header>& headers, std::string_view name, std::string value);

/** `repeatable` tells whether it does no harm when the request arrives twice. */
struct http_request {
  std::string method;
  std::string target;
  std::vector<http_header> headers;
  std::string body;
  bool repeatable = true;
};

struct http_answer {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

}  // namespace hawthorndrum
