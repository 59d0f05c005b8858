/// Counts lost upstreams per fingerprint.
#include "gateway/crash_record.h"

#include <algorithm>

namespace hawthorndrum {

bool crash_record::AddReport(const crash_report& report, time_point now) {
  if (rows_.size() >= kMaxFingerprints) Sweep(now);
  row& counted = rows_[report.fingerprint];
  if (now - counted.last > kRetention) counted.upstreams.clear();
  const auto& known = counted.upstreams;
  if (std::find(known.begin(), known.end(), report.upstream) != known.end()) return false;
  counted.last = now;
  if (counted.upstreams.size() < kConvictionThreshold) counted.upstreams.push_back(report.upstream);
  return true;
}

std::size_t crash_record::CrashesOf(std::uint64_t fingerprint, time_point now) const {
  const auto found = rows_.find(fingerprint);
  if (found == rows_.end() || now - found->second.last > kRetention) return 0;
  return found->second.upstreams.size();
}

bool crash_record::IsConvicted(std::uint64_t fingerprint, time_point now) const {
  return CrashesOf(fingerprint, now) >= kConvictionThreshold;
}

void crash_record::Sweep(time_point now) {
  // Drops expired rows; while the table is at least half full, also those not convicted.
  for (auto it = rows_.begin(); it != rows_.end();) {
    const bool old = now - it->second.last > kRetention;
    const bool proven = it->second.upstreams.size() >= kConvictionThreshold;
    it = old || (!proven && rows_.size() >= kMaxFingerprints / 2) ? rows_.erase(it) : std::next(it);
  }
}

}  // namespace hawthorndrum
