/// Records the decisions made for recent requests, for operators to inspect.
#pragma once

#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "ports/admin_section.h"
#include "systems/problem_answer.h"
#include "systems/routing_system.h"
#include "tables/request_row.h"

namespace hawthorndrum {

/**
 * The admin section `why`. Invariant: at most kMaxRequests requests with kMaxSteps steps each;
 * the oldest request is dropped first.
 */
class decision_log : public admin_section {
 public:
  static constexpr std::size_t kMaxRequests = 2000;
  static constexpr std::size_t kMaxSteps = 16;

  explicit decision_log(const upstream_table& upstreams);

  void Arrived(const request_row& request);
  /** Adds a step described in words. */
  void Note(request_id request, time_point now, std::string what);
  void Routed(request_id request, time_point now, const routing_choice& choice);
  void Refused(request_id request, time_point now, const refusal& why);

  std::string_view name() const override { return "why"; }
  /** Returns the request whose id is `item`; without an item, the newest requests. */
  expected<nlohmann::json> Report(std::string_view item) const override;
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  struct step {
    duration after{0};
    std::string what;
    /** Empty unless the step was a routing decision. */
    routing_choice choice;
  };
  struct entry {
    std::string service;
    int priority = 0;
    std::uint64_t prompt_tokens = 0;
    time_point arrived;
    duration useful_within{0};
    std::vector<step> steps;
  };

  void Add(request_id request, time_point now, step what);
  nlohmann::json Describe(request_id id, const entry& one) const;

  const upstream_table& upstreams_;
  std::unordered_map<request_id, entry> entries_;
  std::deque<request_id> insertion_order_;
};

}  // namespace hawthorndrum
