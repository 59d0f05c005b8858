/// Forwards answers to the HTTP server.
#include "standin_reply.h"

#include "ports/caller_port.h"

namespace hawthorndrum {

void standin_reply::Answer(int status, std::string_view body, std::vector<http_header> headers) {
  if (server_ == nullptr) return;
  http_answer answer;
  answer.status = status;
  answer.headers = std::move(headers);
  if (FindHeader(answer.headers, "Content-Type").empty()) {
    answer.headers.push_back({"Content-Type", "application/json"});
  }
  answer.body = std::string(body);
  server_->Answer(request_, std::move(answer));
}

void standin_reply::Begin(int status, std::vector<http_header> headers) {
  if (server_ != nullptr) server_->Begin(request_, status, std::move(headers));
}

void standin_reply::Write(std::string_view bytes) {
  if (server_ != nullptr) server_->Write(request_, bytes);
}

void standin_reply::End() {
  if (server_ != nullptr) server_->End(request_);
}

void standin_reply::Abort() {
  if (server_ != nullptr) server_->Abort(request_);
}

}  // namespace hawthorndrum
