/// The message with which a lease's holder announces itself to the daemons of its data centre.
#pragma once

#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/** Who holds the lease of `data_centre`. */
struct lease_notice {
  std::string data_centre;
  lease_term term;
  incarnation_id incarnation;
};

peer_message EncodeLeaseNotice(const lease_notice& notice);
expected<lease_notice> DecodeLeaseNotice(const peer_message& message);

}  // namespace hawthorndrum
