/// A fleet of engine models behind one daemon's placement, under a mix that the test chooses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "crossing/crossing_policy.h"
#include "engine_model.h"
#include "fake_random_source.h"
#include "gateway/engine_placement.h"
#include "gateway/engine_speeds.h"
#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"
#include "gateway/stage_planner.h"

namespace hawthorndrum {

/** One kind of request. */
struct request_kind {
  std::uint64_t groups = 100;
  std::uint64_t shared_tokens = 13'300;
  std::uint64_t own_tokens = 3'720;
  std::uint64_t output_tokens = 120;
  duration objective = milliseconds(400);
  double worth = 1;
  /** What an answer is worth that is late, as a share. */
  double late_share = 0.3;
};

/** Requests a second of each kind at a time, in seconds. */
using mix_function = std::function<std::vector<double>(double)>;

struct mix_result {
  double owed = 0;
  double earned = 0;
  int changes = 0;
  int refused = 0;

  double share() const { return owed == 0 ? 0 : earned / owed; }
};

/** How many engines prefill. */
class split_policy {
 public:
  virtual ~split_policy() = default;
  virtual std::size_t Wanted(std::size_t engines, std::size_t present, const stage_load& load) = 0;
};

/** Where a request runs. */
class place_policy {
 public:
  virtual ~place_policy() = default;
  virtual tl::expected<placement, placement_failure> Choose(const placement_query& query,
                                                            time_point now) = 0;
};

class mix_fleet {
 public:
  mix_fleet(std::size_t engines, std::size_t prefill, engine_model_settings settings,
            std::vector<request_kind> kinds);

  /** The product's placement over this fleet. */
  const engine_placement& placements() const { return placements_; }
  fleet_table& fleet() { return fleet_; }
  mix_result Run(double seconds, const mix_function& mix, split_policy& split, place_policy& place);

 private:
  struct open_request {
    const request_kind* kind = nullptr;
    prompt asked;
    double arrived_ms = 0;
    double sent_ms = 0;
    double last_event_ms = -1;
    double longest_pause_ms = 0;
    upstream_id at;
    upstream_work reserved;
    std::uint64_t queued = 0;
    bool is_prefilled = false;
  };

  void Arrive(const request_kind& kind, place_policy& place);
  void Send(std::uint64_t id, open_request& request, const placement& chosen);
  void Release(open_request& request);
  void Apply(const engine_model_event& event, place_policy& place);
  void Finish(std::uint64_t id, open_request& request);
  void Plan(split_policy& split);
  placement_query Query(const open_request& request) const;
  time_point Now() const { return time_point(milliseconds(static_cast<std::int64_t>(now_ms_))); }

  engine_model_settings settings_;
  std::vector<request_kind> kinds_;
  gateway_service service_;
  fleet_table fleet_;
  engine_speeds speeds_;
  fake_random_source random_;
  crossing_policy crossing_;
  engine_placement placements_;
  std::map<upstream_id, std::unique_ptr<engine_model>> engines_;
  std::map<std::uint64_t, open_request> open_;
  std::vector<upstream_id> tried_;
  std::uint64_t last_request_ = 0;
  double now_ms_ = 0;
  double prefilled_tokens_ = 0;
  mix_result result_;
};

}  // namespace hawthorndrum
