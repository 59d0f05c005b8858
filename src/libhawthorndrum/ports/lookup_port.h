/// The port for asking a plain service whether the request with a key ran.
#pragma once

#include <string>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/** kNoAnswer: the service could not be reached, or its answer was malformed. */
enum class lookup_state { kDone, kNotRun, kNoAnswer };

struct lookup_question {
  /** The request on whose behalf the service is asked; the answer carries it too. */
  request_id request;
  std::string service;
  std::string lookup_path;
  std::string key;
};

struct lookup_answer {
  request_id request;
  lookup_state state = lookup_state::kNoAnswer;
  /** The stored answer, for kDone. */
  http_answer answer;
};

class lookup_listener {
 public:
  virtual ~lookup_listener() = default;
  virtual void OnLookupAnswer(const lookup_answer& answer) = 0;
};

/**
 * Asks plain services. Each question gets one answer, never from within Ask.
 */
class lookup_port {
 public:
  virtual ~lookup_port() = default;
  virtual void Ask(lookup_question question, lookup_listener& listener) = 0;
};

}  // namespace hawthorndrum
