/// Computes what a publishing run has to write.
#pragma once

#include <string>
#include <vector>

#include "tables/config_slice.h"
#include "tables/publish_request.h"

namespace hawthorndrum {

/** An immutable part to write. */
struct config_part {
  content_digest digest;
  std::string bytes;
};

/**
 * `parts` and `head` are filled only when there are changes and no conflicts. `oversized` names a
 * service whose leaf would exceed kMaxPartBytes, and then nothing may be written; empty when there
 * is none.
 */
struct publish_plan {
  std::vector<planned_change> changes;
  std::vector<publish_conflict> conflicts;
  std::vector<config_part> parts;
  config_head head;
  std::string oversized;
};

/**
 * Plans the request against the slice, which must hold the pages and leaves of all services named.
 * `base` is the generation that the requested changes are based on.
 */
publish_plan PlanPublish(const config_slice& present, const publish_request& request,
                         generation base);

}  // namespace hawthorndrum
