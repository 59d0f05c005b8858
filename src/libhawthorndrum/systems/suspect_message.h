/// The peer message about suspects (topic kSuspect).
#pragma once

#include <cstdint>
#include <vector>

#include "base/error.h"
#include "base/units.h"
#include "ports/peer_message.h"
#include "systems/crash_event.h"

namespace hawthorndrum {

struct strike_news {
  crash_event event;
  bool alone = false;
};

/** What the sender holds against a fingerprint; `cleared`: it was answered whole. */
struct fingerprint_news {
  std::uint64_t fingerprint = 0;
  std::vector<strike_news> strikes;
  duration convicted_for{0};
  bool cleared = false;
};

/** `alive`: runs of upstreams that were taken for lost and were not. */
struct suspect_message {
  std::vector<fingerprint_news> news;
  std::vector<crash_event> alive;
};

peer_message Encode(const suspect_message& message);

/** Refuses whatever is not a well-formed message within its bounds. */
expected<suspect_message> DecodeSuspect(const peer_message& message);

}  // namespace hawthorndrum
