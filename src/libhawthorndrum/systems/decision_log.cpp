/// Records the decisions made for recent requests, for operators to inspect.
#include "systems/decision_log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hawthorndrum {

namespace {

constexpr std::size_t kMaxListed = 50;

}  // namespace

decision_log::decision_log(const upstream_table& upstreams) : upstreams_(upstreams) {}

void decision_log::Arrived(const request_row& request) {
  entry one;
  one.service = request.service->name;
  one.priority = request.priority;
  one.prompt_tokens = request.prompt_tokens;
  one.arrived = request.arrived;
  one.useful_within = request.useful_by - request.arrived;
  if (!entries_.emplace(request.id, std::move(one)).second) return;
  insertion_order_.push_back(request.id);
  if (insertion_order_.size() <= kMaxRequests) return;
  entries_.erase(insertion_order_.front());
  insertion_order_.pop_front();
}

void decision_log::Note(request_id request, time_point now, std::string what) {
  step one;
  one.what = std::move(what);
  Add(request, now, std::move(one));
}

void decision_log::Routed(request_id request, time_point now, const routing_choice& choice) {
  step one;
  one.what = "sent";
  one.choice = choice;
  Add(request, now, std::move(one));
}

void decision_log::Refused(request_id request, time_point now, const refusal& why) {
  Note(request, now, why.code + " (" + std::string(ToText(why.what)) + "): " + why.detail);
}

void decision_log::Add(request_id request, time_point now, step what) {
  const auto found = entries_.find(request);
  if (found == entries_.end() || found->second.steps.size() >= kMaxSteps) return;
  what.after = now - found->second.arrived;
  found->second.steps.push_back(std::move(what));
}

expected<nlohmann::json> decision_log::Report(std::string_view item) const {
  if (item.empty()) {
    nlohmann::json list = nlohmann::json::array();
    for (auto id = insertion_order_.rbegin();
         id != insertion_order_.rend() && list.size() < kMaxListed; ++id) {
      list.push_back({{"request_id", ToHex(id->value())}, {"service", entries_.at(*id).service}});
    }
    return nlohmann::json{{"requests", std::move(list)}};
  }
  const request_id id(FromHex(item));
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return tl::make_unexpected(error{error_code::kNotFound, "this daemon knows no such request"});
  }
  return Describe(id, found->second);
}

expected<nlohmann::json> decision_log::Act(std::string_view /*verb*/,
                                           const nlohmann::json& /*arguments*/) {
  return tl::make_unexpected(error{error_code::kInvalid, "this section takes no orders"});
}

nlohmann::json decision_log::Describe(request_id id, const entry& one) const {
  nlohmann::json steps = nlohmann::json::array();
  for (const step& taken : one.steps) {
    nlohmann::json text = {{"after_ms", ToMilliseconds(taken.after)}, {"what", taken.what}};
    for (std::size_t i = 0; i < taken.choice.weighed.size(); ++i) {
      const routing_candidate& candidate = taken.choice.weighed[i];
      const upstream* row = upstreams_.Find(candidate.upstream);
      const load_estimate& estimate = candidate.estimate;
      text["weighed"].push_back({{"upstream", row ? row->address : "gone"},
                                 {"chosen", i == taken.choice.chosen},
                                 {"wait_ms", ToMilliseconds(estimate.wait)},
                                 {"first_token_ms", ToMilliseconds(estimate.first_token)},
                                 {"whole_ms", ToMilliseconds(estimate.whole)},
                                 {"prefill_tokens", candidate.prefill_tokens},
                                 {"cached_tokens", candidate.cached_tokens}});
    }
    steps.push_back(std::move(text));
  }
  return {{"request_id", ToHex(id.value())},
          {"service", one.service},
          {"priority", one.priority},
          {"prompt_tokens", one.prompt_tokens},
          {"useful_within_ms", ToMilliseconds(one.useful_within)},
          {"steps", std::move(steps)}};
}

}  // namespace hawthorndrum
