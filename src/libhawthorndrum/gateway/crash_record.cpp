/// Counting losses.
#include "gateway/crash_record.h"

#include <algorithm>

namespace hawthorndrum {

bool crash_record::Note(const crash_report& report, time_point now) {
  if (rows_.size() >= kMostFingerprints) Sweep(now);
  row& noted = rows_[report.fingerprint];
  if (now - noted.last > kRemembered) noted.upstreams.clear();
  const auto& known = noted.upstreams;
  if (std::find(known.begin(), known.end(), report.upstream) != known.end()) return false;
  noted.last = now;
  if (noted.upstreams.size() < kConvicting) noted.upstreams.push_back(report.upstream);
  return true;
}

std::size_t crash_record::CrashesOf(std::uint64_t fingerprint, time_point now) const {
  const auto found = rows_.find(fingerprint);
  if (found == rows_.end() || now - found->second.last > kRemembered) return 0;
  return found->second.upstreams.size();
}

bool crash_record::IsConvicted(std::uint64_t fingerprint, time_point now) const {
  return CrashesOf(fingerprint, now) >= kConvicting;
}

void crash_record::Sweep(time_point now) {
  // The convicted stay; the others make room when time alone does not.
  for (auto place = rows_.begin(); place != rows_.end();) {
    const bool old = now - place->second.last > kRemembered;
    const bool proven = place->second.upstreams.size() >= kConvicting;
    place = old || (!proven && rows_.size() >= kMostFingerprints / 2) ? rows_.erase(place)
                                                                      : std::next(place);
  }
}

}  // namespace hawthorndrum
