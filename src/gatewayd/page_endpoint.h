/// An endpoint that answers every request with one page.
#pragma once

#include <functional>
#include <utility>

#include "http_handler.h"
#include "ports/caller_port.h"

namespace hawthorndrum {

/** Builds the page anew for each request. */
class page_endpoint : public http_handler {
 public:
  using page = std::function<http_answer()>;

  explicit page_endpoint(page make) : make_(std::move(make)) {}
  /** Sets the port that sends the answers; call it before the first request. */
  void SetCallerPort(caller_port& callers) { callers_ = &callers; }

  void OnRequest(request_id request, http_request) override { callers_->Answer(request, make_()); }
  void OnCallerGone(request_id) override {}

 private:
  page make_;
  caller_port* callers_ = nullptr;
};

}  // namespace hawthorndrum
