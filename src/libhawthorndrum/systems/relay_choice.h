/// Selects the daemons that keep the links between data centres.
#pragma once

#include <boost/core/span.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace hawthorndrum {

/** Number of links between each pair of data centres. */
constexpr std::size_t kRelaysPerDataCentre = 2;

/**
 * Pairs the highest ranked daemons of two data centres. Both sides get the same pairs from the same
 * views. The ranking differs for each pair of data centres, which spreads the load. `own` holds the
 * daemons of `own_data_centre`.
 */
std::vector<std::pair<peer_id, peer_id>> ChooseRelays(std::string_view own_data_centre,
                                                      boost::span<const peer_id> own,
                                                      std::string_view other_data_centre,
                                                      boost::span<const peer_id> other);

}  // namespace hawthorndrum
