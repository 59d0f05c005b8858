/// Finds out for which team a request runs, and refuses callers without a valid key.
#include <algorithm>
#include <optional>
#include <string_view>

#include "base/hash.h"
#include "gateway/gateway.h"
#include "teams/caller_check.h"
#include "teams/team.h"

namespace hawthorndrum {

namespace {

/** Retry-After while a newer configuration, which other daemons have, is being fetched. */
constexpr duration kRetryConfigBehind = milliseconds(500);

constexpr std::string_view kEnginesBehind = "engines_behind";
/** The wait of a request that no engine can take in time, in objectives. */
constexpr double kWaitOfRefused = 2;
constexpr duration kMinObjective = milliseconds(50);
/** Time at an engine for a token of the answer, in tokens of the prompt. */
constexpr double kOutputWeight = 10;

double WorkOf(const prompt& asked) {
  return static_cast<double>(asked.tokens()) +
         kOutputWeight * static_cast<double>(asked.output_tokens);
}

}  // namespace

std::optional<const team*> gateway::Identify(const arrived_request& arrived, const route& matched) {
  const key_rules rules{config_->teams, config_->keys(), matched.open_to_all, IsConfigBehind()};
  caller_claim claim;
  claim.key = arrived.terms.key;
  if (arrived.relayed) claim.vouched = arrived.relayed->team;
  const caller_decision decision = CheckCaller(rules, claim);
  switch (decision.verdict) {
    case caller_verdict::kAdmitted:
      return decision.caller;
    case caller_verdict::kUnknownKey:
      RefuseUnplaced(arrived, 401, "unknown_key", duration(0));
      break;
    case caller_verdict::kConfigBehind:
      RefuseUnplaced(arrived, 503, "config_behind", kRetryConfigBehind);
      break;
    case caller_verdict::kUnknownTeam:
      RefuseUnplaced(arrived, 503, "unknown_team", kRetryConfigBehind);
      break;
  }
  return std::nullopt;
}

void gateway::SetTeam(exchange& each, const team* caller, const route& matched) {
  each.terms.key.clear();
  each.priority = matched.priority;
  if (caller == nullptr) return;
  each.team = caller->name;
  each.priority = caller->priority.value_or(matched.priority);
  // A daemon of an earlier version that takes the request over forwards the header as it is.
  ports_.dialect->SetTeam(each.request, each.team);
}

std::optional<placement_failure> gateway::RefusedByShare(
    exchange& each, const tl::expected<placement, placement_failure>& place, time_point now) {
  // A stream that resumes has used up room already.
  if (each.team.empty() || !each.is_engine() || each.build) return std::nullopt;
  if (!place && place.error().reason != kEnginesBehind) return std::nullopt;
  const team_place whose{Hash64(each.service->name), each.priority, Hash64(each.team)};
  const double work = WorkOf(*each.terms.asked);
  const double objective = ToSeconds(std::max<duration>(each.matched->objective, kMinObjective));
  const double wait = place ? ToSeconds(place->wait) / objective : kWaitOfRefused;
  const share_verdict verdict = shares_.Judge(whose, work, wait, now);
  each.is_behind_others = verdict == share_verdict::kBehindOthers;
  const bool is_refused = !place || verdict == share_verdict::kRefused;
  shares_.Record(whose, work, !is_refused, now);
  if (!is_refused) return std::nullopt;
  const duration turn = shares_.TimeToTurn(whose, now);
  if (place) return placement_failure{"over_share", turn};
  return placement_failure{kEnginesBehind, std::max(turn, place.error().retry_after)};
}

void gateway::RefuseRouteless(const arrived_request& arrived) {
  if (IsConfigBehind()) return RefuseUnplaced(arrived, 503, "config_behind", kRetryConfigBehind);
  RefuseUnplaced(arrived, 404, "no_route", duration(0));
}

}  // namespace hawthorndrum
