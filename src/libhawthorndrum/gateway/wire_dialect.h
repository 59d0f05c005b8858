/// The wire format of requests, runs and answers on a platform.
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

/** The terms of a caller's request besides its method, path and body. */
struct caller_terms {
  /** The caller's id of this attempt. */
  std::string caller_id;
  std::string host;
  /** The caller's timeout, if the request states one. */
  std::optional<duration> time_limit;
  /** Not set when the request is no generation. */
  std::optional<prompt> asked;
  /** The last event that the caller received. */
  std::string last_event_id;
  /** The caller's id of the attempt that brought the first event of the stream to resume. */
  std::string resumes;
  /** Empty if the request has none, or several; never logged or sent on. */
  std::string key;
};

/** KV cache of a prompt that an engine prefilled for another one to fetch. */
struct kv_handle {
  /** `ip:port` of the engine that holds it. */
  std::string address;
  std::string name;
};

/** The terms on which an upstream runs a request. */
struct run_terms {
  /** The expected upstream; any other one refuses the request. */
  std::string upstream;
  duration time_left{0};
  /** 0 to 9; 0 is the most urgent. */
  int priority = 5;
  /** The prompt is prefilled and kept; nothing is generated. */
  bool prefill_only = false;
  std::optional<kv_handle> fetch_from;
  /** The stream resumes after this event. */
  std::string last_event_id;
};

/** The terms in the head of an upstream's answer. */
struct answer_terms {
  int status = 0;
  /** Whether the upstream's seal is present; a success without it is not valid. */
  bool sealed = false;
  /** The upstream states that it did not run the request. */
  bool not_run = false;
  /** The expected upstream is no longer at the address, or has another role now. */
  bool is_wrong_upstream = false;
  /** The name of the upstream that answered, if the answer contains it. */
  std::string upstream;
  /** The upstream states that it finishes its requests and accepts no new ones. */
  bool leaving = false;
  /** How long the upstream, which turned the request away, wants no other one of this host. */
  duration wants_nothing_for{0};
  /** The requests a second that the upstream takes from all daemons together. */
  std::optional<double> calls_per_second;
  /** The text of such a limit that cannot be read. */
  std::optional<std::string> unreadable_limit;
  /** The text of such a time that cannot be read. */
  std::optional<std::string> unreadable_time;
};

/**
 * Translates between the core's terms and the headers and bodies of a platform.
 */
class wire_dialect {
 public:
  virtual ~wire_dialect() = default;

  /** Extracts the caller's terms and removes headers that callers may not set. */
  virtual caller_terms TakeCallerTerms(http_request& request) const = 0;
  /** Tells the upstream for which team the request runs. */
  virtual void SetTeam(http_request& request, std::string_view team) const = 0;
  /** Returns the request to send to the upstream. */
  virtual http_request WriteRun(const http_request& request, const run_terms& terms) const = 0;
  virtual answer_terms ReadAnswer(int status, const std::vector<http_header>& headers) const = 0;
  /** Returns the name under which an engine keeps a prefilled prompt. */
  virtual expected<std::string> ReadHandleName(std::string_view body) const = 0;
  /** Returns the request that makes an engine drop a prompt it prefilled for another one. */
  virtual http_request WriteDrop(const kv_handle& handle) const = 0;
  /** Returns the name of the answer header that carries the request's id. */
  virtual std::string_view answer_id_header() const = 0;
};

}  // namespace hawthorndrum
