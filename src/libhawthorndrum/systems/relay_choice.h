/// Which daemons hold the links between data centres.
#pragma once

#include <boost/core/span.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace hawthorndrum {

/** Links between each two data centres. */
constexpr std::size_t kRelaysPerDataCentre = 2;

/**
 * Pairs up the highest ranked daemons of two data centres; both sides get the same pairs from the
 * same views, and each pair of data centres ranks the daemons anew, so that the load is spread.
 * `own` belongs to the data centre named first.
 */
std::vector<std::pair<peer_id, peer_id>> ChooseRelays(std::string_view own_data_centre,
                                                      boost::span<const peer_id> own,
                                                      std::string_view other_data_centre,
                                                      boost::span<const peer_id> other);

}  // namespace hawthorndrum
