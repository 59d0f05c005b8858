/// Origins of streams that tests set and answer.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "origins/stream_origins.h"

namespace hawthorndrum {

class fake_stream_origins : public stream_origins {
 public:
  void Record(const stream_origin& origin, time_point) override {
    known[origin.key] = origin.build;
  }
  std::optional<software_build> Find(stream_key key, time_point) const override {
    const auto found = known.find(key);
    if (found == known.end()) return std::nullopt;
    return found->second;
  }
  void Ask(stream_key key, time_point) override { asked.push_back(key); }

  std::map<stream_key, software_build> known;
  std::vector<stream_key> asked;
};

}  // namespace hawthorndrum
