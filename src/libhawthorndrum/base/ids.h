/// Identifiers that are shared across the core.
#pragma once

#include "base/strong_id.h"

namespace hawthorndrum {

/** A caller's request at this daemon. Random, unique in the fleet. */
using request_id = strong_id<struct request_tag>;
/** One attempt to run a request at one upstream. Random, unique in the fleet, never reused. */
using attempt_id = strong_id<struct attempt_tag>;
/** An upstream: the hash of its address, stable as long as the address is. */
using upstream_id = strong_id<struct upstream_tag>;
/** A daemon process. Random; a restarted daemon has a new one. */
using incarnation_id = strong_id<struct incarnation_tag>;
/** A daemon: the hash of the address of its peers' port. */
using peer_id = strong_id<struct peer_tag>;
/** A caller's stream: the hash of the caller's id of the attempt that brought the first event. */
using stream_key = strong_id<struct stream_key_tag>;
/** A version of the software of one service's upstreams: the hash of both names. */
using software_build = strong_id<struct software_build_tag>;
/** What may crash upstreams: the hash of a part of a prompt, or of a whole request. */
using suspect_id = strong_id<struct suspect_tag>;
/** One call to the object store. */
using store_call_id = strong_id<struct store_call_tag>;
/** One order to an engine. Random, unique in the fleet. */
using order_id = strong_id<struct order_tag>;
/** One call to the platform's API. Random, unique in the fleet. */
using duty_call_id = strong_id<struct duty_call_tag>;
/** The fencing token of a lease; increases with every change of holder. */
using lease_term = strong_id<struct lease_term_tag>;
/** The version of a stored object; 0 means that there is none. */
using object_version = strong_id<struct object_version_tag>;
/** The number of a published configuration; each publication increases it by one. */
using generation = strong_id<struct generation_tag>;

}  // namespace hawthorndrum
