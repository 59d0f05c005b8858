/// The table of upstreams that this daemon knows.
#pragma once

#include "base/table.h"
#include "tables/upstream.h"

namespace hawthorndrum {

using upstream_table = table<upstream_id, upstream>;

}  // namespace hawthorndrum
