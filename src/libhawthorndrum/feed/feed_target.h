/// Applies the changes that another daemon read.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>

namespace hawthorndrum {

struct object_change;

class feed_target {
 public:
  virtual ~feed_target() = default;
  /** The revision up to which all changes are applied; 0 before the first complete list. */
  virtual std::uint64_t feed_revision() const = 0;
  /** The store's era to which that revision belongs; 0 also where it names none. */
  virtual std::uint64_t feed_era() const = 0;
  /** Applies the changes after feed_revision() up to `to`, the last one of each object. */
  virtual void Apply(boost::span<const object_change> changes, std::uint64_t to,
                     std::uint64_t newest_change) = 0;
};

}  // namespace hawthorndrum
