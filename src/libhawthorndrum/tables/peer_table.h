/// Table of the peers that this daemon knows.
#pragma once

#include "base/table.h"
#include "tables/peer.h"

namespace hawthorndrum {

using peer_table = table<peer_id, peer>;

}  // namespace hawthorndrum
