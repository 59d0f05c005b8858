/// How requests, runs and answers are written on the wire of a platform.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/http_message.h"
#include "base/units.h"
#include "gateway/prompt.h"

namespace hawthorndrum {

/** What a caller's request says besides its method, path and body. */
struct caller_terms {
  /** The caller's id of this attempt. */
  std::string caller_id;
  std::string host;
  /** How long the caller waits; nothing when it did not say. */
  std::optional<duration> time_limit;
  /** Nothing when the request is no generation. */
  std::optional<prompt> asked;
  /** The last event that the caller has. */
  std::string last_event_id;
};

/** KV cache that an engine read for another one to fetch. */
struct kv_handle {
  /** `ip:port` of the engine that holds it. */
  std::string address;
  std::string name;
};

/** How an upstream is to run a request. */
struct run_terms {
  /** The upstream refuses the request if it is another one. */
  std::string upstream;
  duration time_left{0};
  /** 0 to 9; 0 is the most urgent. */
  int priority = 5;
  /** The prompt is read and kept; nothing is generated. */
  bool read_only = false;
  std::optional<kv_handle> fetch_from;
  /** The stream goes on after this event. */
  std::string last_event_id;
};

/** What the head of an upstream's answer says. */
struct answer_terms {
  int status = 0;
  /** The upstream's own mark, without which a success is not one. */
  bool sealed = false;
  /** The upstream states that it did not run the request. */
  bool not_run = false;
  /** The upstream that was meant is not at the address any more, or does something else now. */
  bool is_another = false;
  /** The name of the upstream that answered, where the answer tells it. */
  std::string upstream;
};

/**
 * Translates between the core's terms and the headers and bodies of a platform.
 */
class wire_dialect {
 public:
  virtual ~wire_dialect() = default;

  /** Reads the caller's terms and takes out of the request what callers may not set. */
  virtual caller_terms TakeCallerTerms(http_request& request) const = 0;
  /** The request as it goes to the upstream. */
  virtual http_request WriteRun(const http_request& request, const run_terms& terms) const = 0;
  virtual answer_terms ReadAnswer(int status, const std::vector<http_header>& headers) const = 0;
  /** The name under which an engine keeps what it read. */
  virtual expected<std::string> ReadHandleName(std::string_view body) const = 0;
  /** Asks an engine to drop what it read for another one. */
  virtual http_request WriteDrop(const kv_handle& handle) const = 0;
  /** The name of the header that names the request in answers. */
  virtual std::string_view answer_id_header() const = 0;
};

}  // namespace hawthorndrum
