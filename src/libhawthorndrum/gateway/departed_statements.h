/// What upstreams without a row in the fleet table have said about themselves.
///
/// Needed when a store comes back with an older copy of the host list: it lists upstreams again
/// whose rows were erased.
#pragma once

#include <cstddef>
#include <deque>

#include "base/ids.h"
#include "gateway/upstream_statements.h"

namespace hawthorndrum {

/**
 * Invariant: holds the last kMaxInstances that were kept, each once, oldest first.
 */
class departed_statements {
 public:
  /** Several times the largest fleet; an instance takes less than 100 bytes. */
  static constexpr std::size_t kMaxInstances = 1024;

  /** Keeps what the instance said unless nothing of it is valid any more. */
  void Keep(upstream_id instance, const upstream_statements& said, time_point now);
  /** Removes and returns what the instance said; empty when it is not known. */
  upstream_statements Take(upstream_id instance);
  std::size_t size() const { return kept_.size(); }

 private:
  struct departed_instance {
    upstream_id id;
    upstream_statements said;
  };

  std::deque<departed_instance> kept_;
};

}  // namespace hawthorndrum
