/// Reports the usage of each window while this daemon holds the duty.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/units.h"
#include "duties/duty_listener.h"
#include "systems/stored_record.h"
#include "systems/system.h"
#include "usage/usage_record.h"

namespace hawthorndrum {

class clock;
class counter;
class duty_authority;
class duty_port;
class event_log;
class lease_system;
class metrics_registry;
class random_source;
class usage_exchange;

/**
 * A report is written to the store under a condition before it is sent, so that every later holder
 * sends the same content: a holder that does not know whether the platform accepted one sends it
 * again.
 *
 * Invariants: only what stored_ contains is sent; at most one call is open.
 */
class usage_reporter : public system, public duty_listener, record_listener {
 public:
  /** After this share of the lateness, a report no longer waits for daemons that are silent. */
  static constexpr double kPatience = 0.45;
  /** Without an answer of the platform for this long, another daemon tries. */
  static constexpr duration kUnreachable = seconds(4);
  /** Daemons that give the duty up before the next one keeps it: the platform may be down. */
  static constexpr std::uint64_t kMaxGivenUp = 2;
  /** How long a daemon that gave the duty up does not take it. */
  static constexpr duration kBarred = seconds(60);
  /** Reports that wait for the platform; the oldest ones are given up. */
  static constexpr std::size_t kMaxPending = 12;

  /** The references outlive the reporter. */
  struct ports {
    usage_exchange& exchange;
    lease_system& lease;
    const duty_authority& authority;
    duty_port& platform;
    object_store& store;
    const clock& time;
    random_source& random;
    event_log& log;
    metrics_registry& metrics;
  };

  usage_reporter(const ports& given, duration lateness);

  void Run(time_point now) override;
  void OnDutyAnswer(duty_call_id call, duty_outcome outcome) override;

 private:
  void OnRecordRead(const record_state& state) override;
  void OnRecordWritten(const record_state& state, time_point sent) override;

  /** Takes the duty only as one of the first daemons, or where nobody else does. */
  void SetEligible(time_point now);
  void Load(const record_state& state);
  void LogMissed(std::uint64_t from, std::uint64_t to, std::string_view reason);
  bool IsDue(std::uint64_t window, time_point now) const;
  /** Fixes the content of the windows that are due. */
  void Fix(time_point now);
  void Write(usage_record record);
  void Send(time_point now);
  void GiveUpIfUnreachable(time_point now);

  ports with_;
  duration lateness_;
  stored_record record_;
  /** Whether stored_ was read under the present lease. */
  bool loaded_ = false;
  bool held_ = false;
  usage_record stored_;
  usage_record writing_;
  /** Windows of stored_ that the platform has accepted. */
  std::set<std::uint64_t> accepted_;
  duty_call_id call_;
  std::uint64_t sent_window_ = 0;
  /** Where in the pending reports the next call begins. */
  std::size_t turn_ = 0;
  time_point send_at_;
  /** Since when no call reached the platform. */
  bool unreachable_ = false;
  time_point unreachable_since_;
  bool gives_up_ = false;
  time_point barred_until_;

  counter& reported_;
  counter& missed_;
  counter& refused_;
  counter& requests_;
};

}  // namespace hawthorndrum
