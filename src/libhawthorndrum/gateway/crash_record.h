/// Records which requests were running when upstreams crashed.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/** An upstream was lost while a request with this fingerprint ran there. */
struct crash_report {
  std::uint64_t fingerprint = 0;
  upstream_id upstream;
};

/**
 * Counts, for each fingerprint, the upstreams that were lost while such a request ran. Requests
 * that ran at the same upstream as the culprit are counted too, so one or two losses prove nothing;
 * a request with kConvictionThreshold losses is refused until kRetention after the last one.
 *
 * Invariant: holds at most kMaxFingerprints fingerprints.
 */
class crash_record {
 public:
  static constexpr std::size_t kConvictionThreshold = 3;
  static constexpr duration kRetention = seconds(60);
  static constexpr std::size_t kMaxFingerprints = 2048;

  /** Records a report; returns whether it was new. */
  bool AddReport(const crash_report& report, time_point now);
  bool IsConvicted(std::uint64_t fingerprint, time_point now) const;
  std::size_t CrashesOf(std::uint64_t fingerprint, time_point now) const;

 private:
  struct row {
    std::vector<upstream_id> upstreams;
    time_point last;
  };

  void Sweep(time_point now);

  std::unordered_map<std::uint64_t, row> rows_;
};

}  // namespace hawthorndrum
