/// A request to publish changes, and its result.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/** The wanted configuration of a service; without `wanted` the service is removed. */
struct service_change {
  std::string name;
  std::optional<service_config> wanted;
};

/**
 * A request for one publishing run. A service that another operator changed after `base` is a
 * conflict; a base of 0 means the generation that the run reads first.
 */
struct publish_request {
  /** Random, not 0. Repeating an earlier run's id settles that run instead of publishing twice. */
  std::uint64_t publish_id = 0;
  std::string author;
  std::string note;
  /** Seconds since 1970, for display. */
  std::int64_t time = 0;
  std::vector<service_change> changes;
  generation base;
  /** Lowest allowed number of the new generation; for a store restored from an old copy. */
  generation floor;
  bool dry_run = false;
  /** Whether the run repeats an earlier one with the same id whose outcome is unknown. */
  bool settle = false;
  /** How long the run retries when the store refuses or does not answer. */
  duration timeout = seconds(30);
};

enum class change_kind { kAdded, kChanged, kRemoved };

/** A service that the run changes, with a line for each changed field. */
struct planned_change {
  std::string service;
  change_kind kind = change_kind::kChanged;
  std::vector<std::string> lines;
};

/** A service that someone else changed after the base, and not to the wanted configuration. */
struct publish_conflict {
  std::string service;
  bool removed = false;
  std::string changed_by;
  std::int64_t changed_at = 0;
  generation changed_in;
  /** Differences from the other operator's configuration to the wanted one. */
  std::vector<std::string> lines;
};

/**
 * kPublished: published as generation `number`. kUnchanged: generation `number` already has
 * everything wanted. kPlanned: the dry run ended. kConflict, kGivenUp and kRejected: nothing was
 * published. kUnknown: the changes may have been published or may still be; a run with the same
 * publish id finds out.
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
