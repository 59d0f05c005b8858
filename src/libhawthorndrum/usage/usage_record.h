/// The reports of usage that are fixed, as they are kept in the store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "duties/duty_port.h"

namespace hawthorndrum {

/** A report whose content no longer changes. */
struct fixed_report {
  usage_report report;
  /** Daemons whose counts it contains, and daemons that were listed. */
  std::uint64_t heard = 0;
  std::uint64_t known = 0;
};

/**
 * Invariants: the windows of `pending` are increasing and before `next`; a window before `next`
 * never gets another content.
 */
struct usage_record {
  /** The first window without a fixed report; 0 before the first report. */
  std::uint64_t next = 0;
  /** How many daemons gave the duty up since the platform last accepted a report. */
  std::uint64_t given_up = 0;
  /** Reports that the platform may not have accepted yet. */
  std::vector<fixed_report> pending;
};

/** `nonce` makes every written value unique. */
std::string EncodeUsageRecord(const usage_record& record, std::uint64_t nonce);
expected<usage_record> DecodeUsageRecord(std::string_view text);

}  // namespace hawthorndrum
