/// The request path's interface to claims: decides whether a request that may not be repeated
/// may run.
#pragma once

#include <string>
#include <string_view>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/units.h"

namespace hawthorndrum {

/** A request to claim a key. */
struct claim_request {
  request_id request;
  std::string service;
  std::string key;
  /** Hash over service, model, method, path and body; the key with another digest is refused. */
  std::uint64_t digest = 0;
  time_point deadline;
  /** The path of the plain service's lookup, which reports whether the key ran; empty if none. */
  std::string lookup_path;
};

/**
 * kGranted: this request may run now, once. kAnswered: the key ran before, `answer` is the stored
 * answer (status 0 when it was too large to keep). kUnknown: the key may have run and must not run
 * again. kNotRun: the claim was not obtained; this request did not run. kMismatch: the key belongs
 * to a different request.
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

/** Receives one decision for each claim. */
class claim_listener {
 public:
  virtual ~claim_listener() = default;
  virtual void OnClaimDecision(const claim_decision& decision) = 0;
};

/**
 * Claims keys. After kGranted the request path calls exactly one of the three Report methods.
 */
class claim_gate {
 public:
  virtual ~claim_gate() = default;
  virtual void Claim(claim_request claim, claim_listener& listener) = 0;
  /**
   * Cancels a claim before its decision: the caller disconnected, or the deadline passed. Returns
   * what is known of the key by then: kAnswered, kUnknown, kMismatch, or kNotRun when no other
   * attempt is known here.
   */
  virtual claim_decision Forget(request_id request) = 0;
  /** Reports that the request ran, with its complete answer. */
  virtual void ReportDone(request_id request, const http_answer& answer) = 0;
  /** Reports that the request provably did not run; the key may be claimed again. */
  virtual void ReportNotRun(request_id request) = 0;
  /** Reports that bytes were sent and no complete answer was received. */
  virtual void ReportUnknown(request_id request) = 0;
};

}  // namespace hawthorndrum
