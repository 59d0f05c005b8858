/// The stored lease of one data centre.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/**
 * The largest term of a store without eras; leaves room in a fencing number for the order's number
 * within the term.
 */
constexpr std::uint64_t kLargestTerm = std::uint64_t{1} << 32;
/** The largest term of a store with eras; a JSON number holds it exactly. */
constexpr std::uint64_t kLargestTermOfEras = std::uint64_t{1} << 52;
/**
 * The first term of an era is the era's number shifted by this much. An era has fewer leases than
 * that, so each of its terms exceeds all terms of the eras before, whatever was lost with them.
 */
constexpr int kEraShift = 20;

/**
 * The lease as it is stored. `holder` is 0 once the lease has been released. `nonce` makes every
 * written value unique.
 */
struct lease_record {
  lease_term term;
  peer_id holder;
  incarnation_id incarnation;
  std::uint64_t nonce = 0;
  duration length{0};
};

std::string EncodeLease(const lease_record& record);
expected<lease_record> DecodeLease(std::string_view text);

}  // namespace hawthorndrum
