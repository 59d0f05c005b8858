/// What an operator asks the publisher for, and what came of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/** A service as it is to be; without `wanted` it is to be removed. */
struct service_change {
  std::string name;
  std::optional<service_config> wanted;
};

/**
 * One publishing run. A service that another operator changed after `base` is a conflict; a base of
 * 0 stands for the generation that the run reads first.
 */
struct publish_request {
  /** Random, not 0; the same id again settles an earlier run instead of publishing twice. */
  std::uint64_t publish_id = 0;
  std::string author;
  std::string note;
  /** Seconds since 1970, kept for people. */
  std::int64_t time = 0;
  std::vector<service_change> changes;
  generation base;
  /** The new generation is at least this; for a store that was restored from an old copy. */
  generation floor;
  bool dry_run = false;
  /** Whether the run repeats an earlier one with the same id whose end is not known. */
  bool settle = false;
  /** How long the run goes on when the store refuses or does not answer. */
  duration patience = seconds(30);
};

enum class change_kind { kAdded, kChanged, kRemoved };

/** A service that differs, with one line for each field that does. */
struct planned_change {
  std::string service;
  change_kind kind = change_kind::kChanged;
  std::vector<std::string> lines;
};

/** A service that someone else changed after the base, differently from what is wanted. */
struct publish_conflict {
  std::string service;
  bool removed = false;
  std::string changed_by;
  std::int64_t changed_at = 0;
  generation changed_in;
  /** From what the other operator published to what is wanted. */
  std::vector<std::string> lines;
};

/**
 * kPublished: accepted in `number`. kUnchanged: everything wanted is in force already in `number`.
 * kPlanned: a dry run's end. kConflict, kGivenUp and kRejected: nothing was accepted. kUnknown: it
 * may have been accepted or may yet be; a run with the same publish id tells.
 */
enum class publish_status {
  kRunning,
  kPublished,
  kUnchanged,
  kPlanned,
  kConflict,
  kGivenUp,
  kRejected,
  kUnknown,
};

struct publish_result {
  publish_status status = publish_status::kRunning;
  generation number;
  std::vector<planned_change> changes;
  std::vector<publish_conflict> conflicts;
  std::string message;
};

}  // namespace hawthorndrum
