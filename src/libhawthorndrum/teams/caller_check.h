/// Decides whether a caller may use a route, and for which team.
#pragma once

#include <boost/core/span.hpp>
#include <string_view>

namespace hawthorndrum {

class key_index;
struct team;

struct caller_claim {
  /** Empty if the request has no key, or several. */
  std::string_view key;
  /** The team that a listed daemon, which checked the key, names; empty otherwise. */
  std::string_view vouched;
};

/** What the daemon's configuration says about callers of the route. */
struct key_rules {
  boost::span<const team> teams;
  /** Null if callers need no key. */
  const key_index* keys = nullptr;
  bool open_to_all = false;
  /** Another daemon has reported a newer configuration, which may hold other keys. */
  bool is_behind = false;
};

enum class caller_verdict {
  /** The request runs, for the team if there is one. */
  kAdmitted,
  /** No team holds the key. */
  kUnknownKey,
  /** The same, but the newer configuration may know the key. */
  kConfigBehind,
  /** Another daemon names a team that this daemon does not know. */
  kUnknownTeam,
};

struct caller_decision {
  caller_verdict verdict = caller_verdict::kAdmitted;
  /** One of the rules' teams; null if the request runs for no team. */
  const team* caller = nullptr;
};

caller_decision CheckCaller(const key_rules& rules, const caller_claim& claim);

}  // namespace hawthorndrum
