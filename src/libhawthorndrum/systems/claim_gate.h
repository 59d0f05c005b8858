/// Between the request path and the claims: who may run a request that may not be repeated.
#pragma once

#include <string>
#include <string_view>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/units.h"

namespace hawthorndrum {

/** What a request asks a claim for. */
struct claim_wish {
  request_id request;
  std::string service;
  std::string key;
  /** Hash over method, path and body; the same key with another digest is refused. */
  std::uint64_t digest = 0;
  time_point deadline;
  /** Where the plain service can be asked whether the key ran; empty when it can't. */
  std::string lookup_path;
};

/**
 * kGranted: this request may run now, once. kAnswered: it ran before, `answer` is the stored
 * answer (status 0 when the answer was too large to keep). kUnknown: it may have run and must not
 * run again. kNotRun: no claim could be had; nothing ran. kMismatch: the key belongs to another
 * request body.
 */
enum class claim_verdict { kGranted, kAnswered, kUnknown, kNotRun, kMismatch };

struct claim_decision {
  request_id request;
  claim_verdict verdict = claim_verdict::kNotRun;
  http_answer answer;
  std::string reason;
  /** With kNotRun: whether an earlier request with the key may have run. */
  earlier_requests earlier = earlier_requests::kUnknown;
};

/** Gets one decision for each wish. */
class claim_listener {
 public:
  virtual ~claim_listener() = default;
  virtual void OnClaimDecision(const claim_decision& decision) = 0;
};

/**
 * Claims keys. After kGranted the request path calls exactly one of the three reports.
 */
class claim_gate {
 public:
  virtual ~claim_gate() = default;
  virtual void Claim(claim_wish wish, claim_listener& listener) = 0;
  /**
   * The caller went away, or the deadline passed, before a decision. Returns what is known of the
   * key by then: kAnswered, kUnknown, kMismatch, or kNotRun when no other attempt is known here.
   */
  virtual claim_decision Forget(request_id request) = 0;
  /** It ran and this is the whole answer. */
  virtual void ReportDone(request_id request, const http_answer& answer) = 0;
  /** It provably did not run; the key may be claimed again. */
  virtual void ReportNotRun(request_id request) = 0;
  /** Bytes were sent and no whole answer came. */
  virtual void ReportUnknown(request_id request) = 0;
};

}  // namespace hawthorndrum
