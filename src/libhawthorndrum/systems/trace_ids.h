/// W3C Trace Context: reading and writing `traceparent`.
#pragma once

#include <string>
#include <string_view>

#include "tables/request_row.h"

namespace hawthorndrum {

class random_source;

/** Returns the context in the header, or a new one when it is absent or malformed. */
trace_context ReadTraceparent(std::string_view header, random_source& random);

/** Returns the header's value for a hop whose span is `span`. */
std::string WriteTraceparent(const trace_context& trace, std::uint64_t span);

}  // namespace hawthorndrum
