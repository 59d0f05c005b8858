/// What the platform's host list says of one upstream.
#pragma once

#include <cstdint>
#include <string>

namespace hawthorndrum {

/** What part of a generation an engine does. */
enum class engine_stage { kNone, kPrefill, kDecode };

struct upstream_entry {
  /** Names one start of the upstream, as a rule; see `born`. */
  std::string id;
  std::string service;
  /** `ip:port`. An address is used again by other upstreams. */
  std::string address;
  std::string data_centre;
  /** It finishes what it has and takes no new work. */
  bool leaving = false;
  engine_stage stage = engine_stage::kNone;
  /** Requests that it runs at once. */
  std::uint32_t slots = 1;
  /** When it started, in milliseconds of its own wall clock; tells starts under one id apart. */
  std::uint64_t born = 0;

  friend bool operator==(const upstream_entry& a, const upstream_entry& b) {
    return a.id == b.id && a.service == b.service && a.address == b.address &&
           a.data_centre == b.data_centre && a.leaving == b.leaving && a.stage == b.stage &&
           a.slots == b.slots && a.born == b.born;
  }
};

}  // namespace hawthorndrum
