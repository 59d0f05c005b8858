/// Keeps the record of settled builds in the store.
#pragma once

#include <optional>
#include <string>

#include "base/units.h"
#include "ports/object_store.h"
#include "resumes/build_record_port.h"
#include "resumes/settled_builds.h"
#include "systems/system.h"

namespace hawthorndrum {

class daemon_directory;
class event_log;
class random_source;
class stream_resumes;

/**
 * Every daemon reads the record when it needs it. The first kWriters daemons by a hash of their
 * names write it, only when it changes, each if the one before it has not: so the number of calls
 * does not grow with the number of daemons. Writes are conditional on the version that was read.
 *
 * Invariant: at most one call to the store is open.
 */
class build_record : public build_record_port, public store_listener, public system {
 public:
  static constexpr std::size_t kWriters = 3;
  /** Each further writer waits for so much longer. */
  static constexpr duration kRankDelay = milliseconds(1500);
  static constexpr duration kCallTimeout = milliseconds(800);

  build_record(object_store& store, const daemon_directory& daemons, stream_resumes& resumes,
               random_source& random, event_log& log, std::string own_name);

  bool Request(time_point now) override;
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;
  void Run(time_point now) override;

 private:
  /** How many daemons write before this one. */
  std::size_t Rank() const;
  void Read(time_point now);
  void Write(settled_builds updated, time_point now);
  void OnRead(const store_answer& answer);
  void OnWritten(const store_answer& answer);
  void BackOff(time_point now);

  object_store& store_;
  const daemon_directory& daemons_;
  stream_resumes& resumes_;
  random_source& random_;
  event_log& log_;
  std::string own_name_;

  bool call_open_ = false;
  store_call_id call_;
  /** What the open call writes; none if it reads. */
  std::optional<settled_builds> writing_;
  time_point now_;
  time_point next_call_;
  time_point checked_at_;
  int failures_ = 0;

  /** The record as last read or written; none if that is not known. */
  std::optional<settled_builds> known_;
  /** None if the store has no record. */
  object_version version_;
  std::uint64_t era_ = 0;
  time_point read_at_;
  /** Since when the record has differed from what this daemon sees. */
  std::optional<time_point> differs_since_;
};

}  // namespace hawthorndrum
