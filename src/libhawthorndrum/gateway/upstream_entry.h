/// One upstream's entry in the platform's host list.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/units.h"

namespace hawthorndrum {

/** The part of a generation that an engine runs. */
enum class engine_stage { kNone, kPrefill, kDecode };

struct upstream_entry {
  /** Usually identifies one start of the upstream; see `born`. */
  std::string id;
  std::string service;
  /** `ip:port`. Other upstreams may reuse the address later. */
  std::string address;
  std::string data_centre;
  /** The upstream finishes its requests and accepts no new ones. */
  bool leaving = false;
  /** The version of its software; upstreams of several versions may serve side by side. */
  std::string software_version;
  engine_stage stage = engine_stage::kNone;
  /** Requests that it can run at once. */
  std::uint32_t slots = 1;
  /** Start time in milliseconds of its own wall clock; distinguishes starts under the same id. */
  std::uint64_t born = 0;
  /** Whether the platform may take it away at any time, after an announcement. */
  bool reclaimable = false;
  /** The time that it announced until it is taken away. */
  std::optional<duration> leaves_in;

  friend bool operator==(const upstream_entry& a, const upstream_entry& b) {
    return a.id == b.id && a.service == b.service && a.address == b.address &&
           a.data_centre == b.data_centre && a.leaving == b.leaving &&
           a.software_version == b.software_version && a.stage == b.stage && a.slots == b.slots &&
           a.born == b.born && a.reclaimable == b.reclaimable && a.leaves_in == b.leaves_in;
  }
};

}  // namespace hawthorndrum
