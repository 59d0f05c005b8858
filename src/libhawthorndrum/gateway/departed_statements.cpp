/// Keeps the statements of the instances that departed last.
#include "gateway/departed_statements.h"

#include <algorithm>

namespace hawthorndrum {

void departed_statements::Keep(upstream_id instance, const upstream_statements& said,
                               time_point now) {
  if (!said.IsWorthKeeping(now)) return;
  kept_.push_back({instance, said});
  if (kept_.size() > kMaxInstances) kept_.pop_front();
}

upstream_statements departed_statements::Take(upstream_id instance) {
  const auto found = std::find_if(kept_.begin(), kept_.end(), [&](const departed_instance& each) {
    return each.id == instance;
  });
  if (found == kept_.end()) return {};
  const upstream_statements said = found->said;
  kept_.erase(found);
  return said;
}

}  // namespace hawthorndrum
