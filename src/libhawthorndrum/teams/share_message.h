/// The datagram in which a daemon tells others what its callers' teams ask for and get.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "teams/team_rates.h"

namespace hawthorndrum {

struct share_message {
  incarnation_id sender;
  std::vector<team_rate> rates;
};

std::vector<std::uint8_t> EncodeShareMessage(const share_message& message);
/** Returns kInvalid for messages of another kind; skips items that a later version has added. */
expected<share_message> DecodeShareMessage(boost::span<const std::uint8_t> bytes);

}  // namespace hawthorndrum
