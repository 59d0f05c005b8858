/// How daemons share the load reports of the engines that they poll.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/units.h"
#include "ports/load_report.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/** A small number that the sender gave to an engine; it stands for the engine in deltas. */
using load_slot = std::uint32_t;
constexpr load_slot kMostLoadSlots = 8192;

/** All that is known of an engine, and the slot that stands for it from now on. */
struct load_full {
  load_slot slot = 0;
  duration age{0};
  load_report report;
};

/** What changes from second to second. */
struct load_change {
  load_slot slot = 0;
  duration age{0};
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t queued_prefill_tokens = 0;
  std::uint32_t kv_used_per_mille = 0;
};

/**
 * One second's news of one sender. `sequence` rises by one with each message but snapshots, which
 * carry that of the last. `unchanged` holds the slots that were polled and have not changed enough
 * to be said again, the oldest of those polls `unchanged_age` ago.
 */
struct load_message {
  std::uint64_t sequence = 0;
  bool snapshot = false;
  std::vector<load_full> fulls;
  std::vector<load_change> changes;
  std::vector<load_slot> unchanged;
  duration unchanged_age{0};
};

/** Asks the receiver for a snapshot. */
peer_message EncodeLoadQuestion();
peer_message Encode(const load_message& message);

/** Whether the message is a question for a snapshot. */
bool IsLoadQuestion(const peer_message& message);
/** Returns nothing for a malformed message. */
std::optional<load_message> DecodeLoad(const peer_message& message);

}  // namespace hawthorndrum
