/// Finds out for which team a request runs, and refuses callers without a valid key.
#include <optional>
#include <string_view>

#include "gateway/gateway.h"
#include "teams/caller_check.h"
#include "teams/team.h"

namespace hawthorndrum {

namespace {

/** Retry-After while a newer configuration, which other daemons have, is being fetched. */
constexpr duration kRetryConfigBehind = milliseconds(500);

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

void gateway::RefuseRouteless(const arrived_request& arrived) {
  if (IsConfigBehind()) return RefuseUnplaced(arrived, 503, "config_behind", kRetryConfigBehind);
  RefuseUnplaced(arrived, 404, "no_route", duration(0));
}

}  // namespace hawthorndrum
