/// Chooses which peer links membership opens and closes.
#include <algorithm>
#include <map>
#include <set>

#include "systems/backoff.h"
#include "systems/membership_system.h"
#include "systems/relay_choice.h"

namespace hawthorndrum {

namespace {

/** Time that the daemon with the larger id waits for the other side to dial. */
constexpr duration kRemoteDialTimeout = seconds(3);
constexpr duration kRelayChoiceInterval = seconds(1);
/** Time for which a link to another data centre is kept after it is no longer chosen. */
constexpr duration kUnchosenLinkRetention = seconds(30);

}  // namespace

void membership_system::Dial(peer& row, time_point now) {
  if (now < row.next_dial || dial_tokens_ < 1) return;
  dial_tokens_ -= 1;
  row.next_dial = now + JitteredDelay(++row.dials, kInitialDialBackoff, kMaxDialBackoff, random_);
  router_.Connect(row.identity.address);
}

void membership_system::DialOwnDataCentre(time_point now) {
  for (peer& row : peers_) {
    if (router_.IsLinked(row.id)) continue;
    const bool unknown_data_centre = row.identity.data_centre.empty();
    if (!unknown_data_centre && !IsOwnDataCentre(row)) continue;
    const bool self_dials = unknown_data_centre || router_.self() < row.id;
    if (self_dials || now - row.unlinked_at > kRemoteDialTimeout) Dial(row, now);
  }
}

void membership_system::DialRelays(time_point now) {
  if (now < next_relay_choice_) return;
  next_relay_choice_ = now + kRelayChoiceInterval;
  const std::string& own_data_centre = router_.identity().data_centre;
  std::vector<peer_id> own{router_.self()};
  std::map<std::string, std::vector<peer_id>> others;
  for (const peer& row : peers_) {
    if (row.identity.data_centre.empty()) continue;
    if (IsOwnDataCentre(row)) {
      if (row.state == peer_state::kAlive) own.push_back(row.id);
    } else if (router_.IsLinked(row.id) || now >= row.unreachable_until) {
      others[row.identity.data_centre].push_back(row.id);
    }
  }
  std::set<peer_id> chosen;
  for (const auto& [other_data_centre, daemons] : others) {
    for (const auto& [own_relay, other_relay] :
         ChooseRelays(own_data_centre, own, other_data_centre, daemons)) {
      if (own_relay == router_.self()) chosen.insert(other_relay);
    }
  }
  for (peer& row : peers_) {
    if (row.identity.data_centre.empty() || IsOwnDataCentre(row)) continue;
    const bool wanted = chosen.count(row.id) != 0;
    const bool linked = router_.IsLinked(row.id);
    if (wanted && !linked) Dial(row, now);
    // Sends the member list of this data centre once over each new relay link.
    if (linked && row.members_sent < row.linked_at) SendMembers(row);
    if (wanted) row.last_chosen = now;
    if (!wanted && linked &&
        now - std::max(row.linked_at, row.last_chosen) > kUnchosenLinkRetention) {
      router_.Disconnect(row.id);
    }
  }
}

}  // namespace hawthorndrum
