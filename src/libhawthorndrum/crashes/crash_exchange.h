/// Shares the evidence on crashes with the other daemons.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/units.h"
#include "crashes/crash_evidence.h"
#include "crashes/crash_message.h"
#include "crashes/crash_record.h"

namespace hawthorndrum {

class crash_sender;
class daemon_directory;
class event_log;
class random_source;

/**
 * The first loss of a suspect is sent to a few daemons by rendezvous hash, where losses that
 * different daemons saw meet. A suspect with more losses is passed on to random daemons in rounds,
 * and so is what refutes them, until all know it. Convictions are also sent to a random daemon
 * again and again, for those that were cut off, and to those that ask as they start.
 *
 * Invariant: rounds_ holds the rows that are still passed on.
 */
class crash_exchange : public crash_evidence {
 public:
  /** Daemons at which the first loss of a suspect is recorded. */
  static constexpr std::size_t kHolders = 3;
  /** Daemons to which each round goes. */
  static constexpr std::size_t kFanout = 2;
  /** Rounds in which a daemon passes on what it has learned. */
  static constexpr int kRounds = 6;
  static constexpr duration kRoundPeriod = milliseconds(200);
  /** How often convictions are sent to one other daemon. */
  static constexpr duration kRepeatPeriod = milliseconds(500);
  /** Time between questions until one is answered. */
  static constexpr duration kQuestionPeriod = milliseconds(300);

  crash_exchange(const daemon_directory& daemons, crash_sender& sender, random_source& random,
                 event_log& log, std::string own_name);

  void RecordLoss(boost::span<const suspect> suspects, const upstream_loss& loss,
                  time_point now) override;
  void RecordSound(boost::span<const suspect> suspects, time_point begun_at,
                   time_point now) override;
  suspect_id FindConvicted(boost::span<const suspect> suspects, time_point now) override;

  void OnMessage(const crash_message& message, const std::string& from, time_point now);
  void Run(time_point now);

  crash_record& record() { return record_; }

 private:
  /** Sends the row to the suspect's holders, or passes it on if it has more than one loss. */
  void Spread(suspect_id id);
  void SendToHolders(const suspect_row& row);
  void PassOn();
  void RepeatConvictions();
  void AskForConvictions(time_point now);
  void Answer(const std::string& to);
  void SendQueued();
  void LogChanges(time_point now);
  /** Returns up to `count` different addresses of other daemons. */
  std::vector<std::string> RandomDaemons(std::size_t count);

  const daemon_directory& daemons_;
  crash_sender& sender_;
  random_source& random_;
  event_log& log_;
  std::string own_name_;
  crash_record record_;
  std::unordered_map<suspect_id, int> rounds_;
  /** Rows to send at the next tick, by address. */
  std::map<std::string, std::vector<suspect_row>> queued_;
  /** When other daemons were last told that a conviction is still needed. */
  std::unordered_map<suspect_id, time_point> told_at_;
  std::unordered_set<suspect_id> logged_;
  std::size_t repeated_ = 0;
  bool answered_ = false;
  time_point asked_at_;
  time_point last_round_;
  time_point last_repeat_;
  time_point last_run_;
};

}  // namespace hawthorndrum
