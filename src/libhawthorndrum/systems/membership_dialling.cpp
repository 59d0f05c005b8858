/// Membership's choice of links to open and to close.
#include <algorithm>
#include <map>
#include <set>

#include "systems/backoff.h"
#include "systems/membership_system.h"
#include "systems/relay_choice.h"

namespace hawthorndrum {

namespace {

/** The daemon with the larger id waits this long for the other to dial. */
constexpr duration kWaitForDial = seconds(3);
constexpr duration kRelayChoiceInterval = seconds(1);
/** A link to another data centre that is no longer chosen is kept this long. */
constexpr duration kKeepUnchosen = seconds(30);

}  // namespace

void membership_system::Dial(peer& row, time_point now) {
  if (now < row.next_dial || dial_tokens_ < 1) return;
  dial_tokens_ -= 1;
  row.next_dial = now + JitteredDelay(++row.dials, kFirstDialPause, kLongestDialPause, random_);
  router_.Connect(row.identity.address);
}

void membership_system::DialOwnDataCentre(time_point now) {
  for (peer& row : peers_) {
    if (router_.IsLinked(row.id)) continue;
    const bool unknown_place = row.identity.data_centre.empty();
    if (!unknown_place && !IsOwnDataCentre(row)) continue;
    const bool mine_to_dial = unknown_place || router_.self() < row.id;
    if (mine_to_dial || now - row.unlinked_at > kWaitForDial) Dial(row, now);
  }
}

void membership_system::DialRelays(time_point now) {
  if (now < next_relay_choice_) return;
  next_relay_choice_ = now + kRelayChoiceInterval;
  const std::string& own_place = router_.identity().data_centre;
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
  for (const auto& [place, daemons] : others) {
    for (const auto& [mine, theirs] : ChooseRelays(own_place, own, place, daemons)) {
      if (mine == router_.self()) chosen.insert(theirs);
    }
  }
  for (peer& row : peers_) {
    if (row.identity.data_centre.empty() || IsOwnDataCentre(row)) continue;
    const bool wanted = chosen.count(row.id) != 0;
    const bool linked = router_.IsLinked(row.id);
    if (wanted && !linked) Dial(row, now);
    // The members of a data centre are told over each relay link once.
    if (linked && row.members_sent < row.linked_at) SendMembers(row);
    if (wanted) row.last_chosen = now;
    if (!wanted && linked && now - std::max(row.linked_at, row.last_chosen) > kKeepUnchosen) {
      router_.Disconnect(row.id);
    }
  }
}

}  // namespace hawthorndrum
