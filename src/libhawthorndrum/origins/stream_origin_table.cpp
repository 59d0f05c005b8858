/// Records and forgets the origins of streams.
#include "origins/stream_origin_table.h"

namespace hawthorndrum {

void stream_origin_table::Record(const stream_origin& origin, time_point now) {
  Forget(now);
  row& kept = streams_.try_emplace(origin.key, row{origin.build, now}).first->second;
  kept.recorded_at = now;
  order_.push_back({origin.key, now});
}

std::optional<software_build> stream_origin_table::Find(stream_key key, time_point now) const {
  const auto found = streams_.find(key);
  if (found == streams_.end() || now - found->second.recorded_at > kLifetime) return std::nullopt;
  return found->second.build;
}

std::vector<stream_origin> stream_origin_table::All() const {
  std::vector<stream_origin> all;
  for (const auto& [key, kept] : streams_) all.push_back({key, kept.build});
  return all;
}

void stream_origin_table::Forget(time_point now) {
  while (!order_.empty()) {
    const order_entry& oldest = order_.front();
    if (now - oldest.recorded_at <= kLifetime && order_.size() < kMaxStreams) return;
    const auto found = streams_.find(oldest.key);
    // A stream that was recorded again later has another entry.
    if (found != streams_.end() && found->second.recorded_at == oldest.recorded_at)
      streams_.erase(found);
    order_.pop_front();
  }
}

}  // namespace hawthorndrum
