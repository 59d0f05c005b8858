/// Messages by which daemons share the load reports of the engines that they poll.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/units.h"
#include "ports/load_report.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/** A small number that the sender assigns to an engine and uses for it in changes. */
using load_slot = std::uint32_t;
constexpr load_slot kMaxLoadSlots = 8192;

/** An engine's complete report, and the slot that stands for the engine from now on. */
struct load_full {
  load_slot slot = 0;
  duration age{0};
  load_report report;
};

/** The values that change often. */
struct load_change {
  load_slot slot = 0;
  duration age{0};
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t queued_prefill_tokens = 0;
  std::uint32_t kv_used_per_mille = 0;
};

/**
 * One sender's update, sent each second with what it has polled, or a snapshot of its engines.
 * `sequence` rises by one with each update; a snapshot carries that of the last update before it.
 * `unchanged` holds the slots that were polled but have not changed enough to be sent again; the
 * oldest of those polls was `unchanged_age` ago.
 */
struct load_message {
  std::uint64_t sequence = 0;
  bool snapshot = false;
  std::vector<load_full> fulls;
  std::vector<load_change> changes;
  std::vector<load_slot> unchanged;
  duration unchanged_age{0};
};

/** Encodes a request for a snapshot. */
peer_message EncodeSnapshotRequest();
peer_message Encode(const load_message& message);

/** Whether the message is a request for a snapshot. */
bool IsSnapshotRequest(const peer_message& message);
/** Returns nothing for a malformed message. */
std::optional<load_message> DecodeLoad(const peer_message& message);

}  // namespace hawthorndrum
