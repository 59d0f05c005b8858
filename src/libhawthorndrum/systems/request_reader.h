/// Parses a caller's HTTP request into a row of the request table, or returns why it is refused.
#pragma once

#include <cstddef>
#include <tl/expected.hpp>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/units.h"
#include "systems/problem_answer.h"
#include "tables/request_row.h"

namespace hawthorndrum {

class config_view;

constexpr std::size_t kLongestBody = 8 << 20;
constexpr std::size_t kLongestHeaders = 32 << 10;
constexpr std::size_t kLongestKey = 255;

/**
 * Parses the request and validates it against its service's configuration. Leaves the row's trace
 * context empty.
 */
tl::expected<request_row, refusal> ReadRequest(request_id id, http_request request,
                                               const config_view& config, time_point now);

}  // namespace hawthorndrum
