/// HTTP endpoint of the admin port: serves the metrics and the admin sections of the core.
/// The sections require the operators' token.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/error.h"
#include "http_handler.h"

namespace hawthorndrum {

class admin_section;
class caller_port;
class counter;
class metrics_registry;

/**
 * Serves `GET /metrics` without authentication; every other request needs the bearer token.
 */
class admin_endpoint : public http_handler {
 public:
  admin_endpoint(std::string token, metrics_registry& metrics);

  void SetCallerPort(caller_port& answers) { answers_ = &answers; }
  /** Serves the section at `/admin/<name>`. The section must outlive this object. */
  void Add(admin_section& section);

  void OnRequest(request_id request, http_request message) override;
  void OnCallerGone(request_id) override {}

 private:
  bool IsAuthorised(const http_request& message) const;
  http_answer Serve(const http_request& message) const;
  http_answer ServeSection(const http_request& message, std::string_view path) const;

  std::string token_;
  metrics_registry& metrics_;
  counter& refused_;
  caller_port* answers_ = nullptr;
  std::map<std::string, admin_section*, std::less<>> sections_;
};

}  // namespace hawthorndrum
