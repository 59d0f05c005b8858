/// Checks a caller's key against one version of the configuration.
#include "teams/caller_check.h"

#include "teams/key_index.h"

namespace hawthorndrum {

namespace {

const team* Find(const key_rules& rules, const caller_claim& claim) {
  if (rules.keys == nullptr) return nullptr;
  const auto at = claim.vouched.empty() ? rules.keys->FindKey(rules.teams, claim.key)
                                        : rules.keys->FindName(rules.teams, claim.vouched);
  return at ? &rules.teams[*at] : nullptr;
}

}  // namespace

caller_decision CheckCaller(const key_rules& rules, const caller_claim& claim) {
  const team* caller = Find(rules, claim);
  if (caller != nullptr) return {caller_verdict::kAdmitted, caller};
  if (!claim.vouched.empty()) return {caller_verdict::kUnknownTeam, nullptr};
  if (rules.keys == nullptr || rules.open_to_all) return {};
  return {rules.is_behind ? caller_verdict::kConfigBehind : caller_verdict::kUnknownKey, nullptr};
}

}  // namespace hawthorndrum
