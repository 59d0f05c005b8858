/// Takes one request to a step, injects faults there, and then lets it finish.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "request_path.h"

namespace hawthorndrum {

enum class request_kind { kStream, kWhole, kPlain, kPayment };
enum class request_step { kClaiming, kQueued, kSent, kHead, kMiddle, kOver };
enum class fault_kind {
  kCrash,
  kCutUnsent,
  kRefused,
  kMalformed,
  kPause,
  kLateAnswer,
  kDuplicate,
  kForeign,
  kReportLag,
  kLeaving,
  kConfigChange,
  kDaemonStop,
  kCallerGone,
};

constexpr int kKinds = 4;
constexpr int kSteps = 6;
constexpr int kFaults = 13;

/** The actual state of an attempt, whatever the daemon knows of it. */
struct attempt_state {
  attempt_id id;
  std::string address;
  /** The letter of the request that it belongs to. */
  char marker = 0;
  bool started = true;
  bool ended = false;
  bool paused = false;
  bool has_head = false;
  std::uint64_t next = 0;
};

/**
 * Injects faults into request `A` while request `B`, of the same kind, is in flight. Check()
 * returns which guarantee was violated, or an empty text.
 */
class fault_run {
 public:
  static constexpr std::uint64_t kTokens = 5;

  explicit fault_run(request_kind kind);

  void AdvanceTo(request_step step);
  void Apply(fault_kind fault);
  /** Returns whether the caller of `A` must get its complete answer despite the faults. */
  bool MustAnswer(const std::vector<fault_kind>& faults) const;
  /** Returns whether `A` got its complete answer. */
  bool Answered() { return path_.Caller(a_).LooksComplete(); }
  /** Serves all attempts that can be served, until the deadline has passed. */
  void RunToEnd();
  std::string Check();

 private:
  request_id Send(char marker);
  std::string CompleteAnswer(char marker) const;
  void TrackAttempts();
  attempt_state* FindOpen(char marker);
  void SendHead(attempt_state& attempt, int status = 200, std::vector<http_header> headers = {});
  void SendTokens(attempt_state& attempt, std::uint64_t to);
  void Serve(attempt_state& attempt);
  void Lose(attempt_state& attempt, bool sent, attempt_failure failure);
  void Crash(const std::string& address);
  void Replay(attempt_id id, char marker);
  void SetPlannedChange(bool planned);
  std::string CheckCaller(request_id id, char marker);
  std::string CheckClaim(request_id id, char marker);

  request_kind kind_;
  request_path path_;
  std::vector<attempt_state> attempts_;
  request_id a_;
  request_id b_;
  bool caller_gone_ = false;
};

}  // namespace hawthorndrum
