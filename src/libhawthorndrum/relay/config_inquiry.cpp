/// Paces the questions for a newer configuration.
#include "relay/config_inquiry.h"

#include <algorithm>

#include "gateway/daemon_directory.h"
#include "ports/random_source.h"

namespace hawthorndrum {

std::optional<std::string> config_inquiry::Next(std::uint64_t own_version,
                                                std::uint64_t newest_version,
                                                boost::span<const daemon_record> others,
                                                time_point now) {
  const bool was_behind = is_behind_ && own_version == own_version_;
  is_behind_ = newest_version > own_version;
  own_version_ = own_version;
  if (!is_behind_) return std::nullopt;
  if (!was_behind) {
    next_ = now + kStoreGrace;
    pause_ = kPause;
  }
  if (asking_ || now < next_ || others.empty()) return std::nullopt;
  asking_ = true;
  return others[random_.Below(others.size())].notices_address;
}

void config_inquiry::OnAnswer(bool unreadable, time_point now) {
  asking_ = false;
  if (unreadable) pause_ = std::min<duration>(2 * pause_, kMaxPause);
  next_ = now + pause_;
}

}  // namespace hawthorndrum
