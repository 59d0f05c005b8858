/// The identifiers that several parts of the core share.
#pragma once

#include "base/strong_id.h"

namespace hawthorndrum {

/** One caller's request at this daemon. Random, so that it is unique in the fleet. */
using request_id = strong_id<struct request_tag>;
/** One try of a request at one upstream. Random, unique in the fleet, never used twice. */
using attempt_id = strong_id<struct attempt_tag>;
/** An upstream, hashed from its address; stable while the address is the same. */
using upstream_id = strong_id<struct upstream_tag>;
/** A daemon process: drawn at random at start, so a restarted daemon has another one. */
using incarnation_id = strong_id<struct incarnation_tag>;
/** A daemon's address on the peers' port, hashed. */
using peer_id = strong_id<struct peer_tag>;
/** One call to the object store. */
using store_call_id = strong_id<struct store_call_tag>;
/** One order to an engine. Random, unique in the fleet. */
using order_id = strong_id<struct order_tag>;
/** The fencing number of a lease; rises with every change of holder. */
using lease_term = strong_id<struct lease_term_tag>;
/** The version of a stored object; 0 means that there is none. */
using object_version = strong_id<struct object_version_tag>;
/** The number of a published configuration; rises by one with each. */
using generation = strong_id<struct generation_tag>;

}  // namespace hawthorndrum
