/// A caller port that records what each caller received.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "ports/caller_port.h"

namespace hawthorndrum {

/** What one caller received. */
struct caller_record {
  int answers = 0;
  int begins = 0;
  int ends = 0;
  int aborts = 0;
  int status = 0;
  std::vector<http_header> headers;
  std::string body;

  /** Returns whether exactly one answer ended, in any way. */
  bool HasEnded() const { return answers + ends + aborts == 1 && begins == ends + aborts; }
  /** Returns whether the answer looks complete and successful to the caller. */
  bool LooksComplete() const { return status < 300 && (answers == 1 || ends == 1); }
};

class fake_caller_port : public caller_port {
 public:
  /** Called when a request's answer has ended. */
  std::function<void(request_id, const caller_record&)> on_ended;

  void Answer(request_id request, http_answer answer) override {
    caller_record& record = records[request];
    record.answers += 1;
    record.status = answer.status;
    record.headers = std::move(answer.headers);
    record.body = std::move(answer.body);
    if (on_ended) on_ended(request, record);
  }
  void Begin(request_id request, int status, std::vector<http_header> headers) override {
    caller_record& record = records[request];
    record.begins += 1;
    record.status = status;
    record.headers = std::move(headers);
  }
  void Write(request_id request, std::string_view bytes) override {
    records[request].body += bytes;
  }
  void End(request_id request) override {
    records[request].ends += 1;
    if (on_ended) on_ended(request, records[request]);
  }
  void Abort(request_id request) override {
    records[request].aborts += 1;
    if (on_ended) on_ended(request, records[request]);
  }

  std::map<request_id, caller_record> records;
};

}  // namespace hawthorndrum
