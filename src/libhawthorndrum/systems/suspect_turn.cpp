/// Runs suspects one at a time in the data centre, each alone at its upstream.
#include "systems/suspect_turn.h"

#include <algorithm>
#include <vector>

#include "base/hash.h"
#include "ports/peer_port.h"
#include "systems/poison_system.h"
#include "systems/upstream_index.h"

namespace hawthorndrum {

namespace {

constexpr duration kRenewPeriod = milliseconds(500);
/** A grant that was not renewed for so long starts nothing. */
constexpr duration kGrantLives = seconds(3);
/** A reservation by a peer that went silent lapses. */
constexpr duration kReservationLives = seconds(3);
/** A wish that nobody asks for any more is dropped. */
constexpr duration kWishLives = seconds(1);

std::uint64_t TurnKey() { return Hash64("suspect turn"); }

}  // namespace

suspect_turn::suspect_turn(const request_ports& ports, const request_table& requests,
                           poison_system& poison)
    : ports_(ports), requests_(requests), poison_(poison) {}

std::optional<upstream_id> suspect_turn::Advance(const request_row& request, time_point now) {
  if (wish_.fingerprint != 0 && wish_.fingerprint != request.fingerprint) return std::nullopt;
  if (wish_.running) return std::nullopt;
  if (wish_.fingerprint == 0) {
    wish_ = wish();
    wish_.fingerprint = request.fingerprint;
    Ask(now);
    TakeGrants(now);
  }
  wish_.wanted = now;
  if (!wish_.has_grant || now - wish_.granted > kGrantLives) return std::nullopt;
  const upstream* row = ports_.upstreams->Find(wish_.upstream);
  if (!row || !row->TakesWork() || !upstream_index::Serves(*row, *request.service)) {
    Unreserve(wish_.upstream);
    wish_.upstream = Pick(request, now);
    if (!wish_.upstream) return std::nullopt;
    Reserve(wish_.upstream);
  }
  if (!IsEmpty()) return std::nullopt;
  return wish_.upstream;
}

void suspect_turn::Sent(std::uint64_t fingerprint) {
  if (wish_.fingerprint == fingerprint) wish_.running = true;
}

void suspect_turn::Release(std::uint64_t fingerprint, time_point now) {
  if (wish_.fingerprint != fingerprint || fingerprint == 0) return;
  Unreserve(wish_.upstream);
  // The peers must know what became of it before the next one gets the turn.
  poison_.Flush(now);
  const turn_message done{turn_verb::kDone, fingerprint, {}};
  if (Keeper() == Self()) {
    keeper_.Done(Self(), fingerprint);
  } else {
    Tell(Keeper(), done);
  }
  wish_ = wish();
  TakeGrants(now);
}

void suspect_turn::Hear(peer_id from, const turn_message& message, time_point now) {
  switch (message.verb) {
    case turn_verb::kAsk:
      keeper_.Ask(from, message.fingerprint, now);
      return TakeGrants(now);
    case turn_verb::kDone:
      keeper_.Done(from, message.fingerprint);
      return TakeGrants(now);
    case turn_verb::kGrant:
      if (from == Keeper()) Granted(message.fingerprint, now);
      return;
    case turn_verb::kReserve:
      return HearReserve(from, message, now);
    case turn_verb::kEmpty:
      if (message.upstream == wish_.upstream && message.fingerprint == wish_.fingerprint) {
        wish_.empty_at.insert(from);
      }
      return;
    case turn_verb::kFree: {
      const auto found = others_.find(message.upstream);
      if (found == others_.end() || found->second.holder != from) return;
      others_.erase(found);
      upstream* row = ports_.upstreams->Find(message.upstream);
      if (row && wish_.upstream != message.upstream) row->reserved_for_suspect = false;
      return;
    }
  }
}

void suspect_turn::HearReserve(peer_id from, const turn_message& message, time_point now) {
  const upstream_id id = message.upstream;
  upstream* row = ports_.upstreams->Find(id);
  if (row) row->reserved_for_suspect = true;
  others_[id] = {from, now + kReservationLives};
  if ((row && row->own_in_flight != 0) || RunsHere(message.fingerprint)) return;
  // Whatever became of a copy that ran here must arrive before the sender goes on.
  poison_.Flush(now);
  Tell(from, {turn_verb::kEmpty, message.fingerprint, id});
}

bool suspect_turn::RunsHere(std::uint64_t fingerprint) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const request_row& row) {
    const bool runs =
        row.state == request_state::kInFlight || row.state == request_state::kDetached;
    return runs && row.fingerprint == fingerprint;
  });
}

void suspect_turn::Run(time_point now) {
  keeper_.SetKeeping(Keeper() == Self(), !HasNeighbours(), now);
  for (auto one = others_.begin(); one != others_.end();) {
    if (now < one->second.until) {
      ++one;
      continue;
    }
    upstream* row = ports_.upstreams->Find(one->first);
    if (row && wish_.upstream != one->first) row->reserved_for_suspect = false;
    one = others_.erase(one);
  }
  if (wish_.fingerprint != 0) {
    if (!wish_.running && now - wish_.wanted > kWishLives) Release(wish_.fingerprint, now);
    if (wish_.fingerprint != 0 && now - wish_.asked >= kRenewPeriod) Ask(now);
  }
  TakeGrants(now);
}

peer_id suspect_turn::Self() const { return ports_.peers ? ports_.peers->self() : peer_id(1); }

peer_id suspect_turn::Keeper() const {
  peer_id best = Self();
  if (!ports_.peers) return best;
  std::uint64_t best_score = RendezvousScore(TurnKey(), best.value());
  for (const live_peer& peer : ports_.peers->Peers()) {
    if (!peer.same_data_centre || !peer.linked) continue;
    const std::uint64_t score = RendezvousScore(TurnKey(), peer.id.value());
    if (score <= best_score) continue;
    best = peer.id;
    best_score = score;
  }
  return best;
}

bool suspect_turn::HasNeighbours() const {
  if (!ports_.peers) return false;
  const auto& peers = ports_.peers->Peers();
  return std::any_of(peers.begin(), peers.end(),
                     [](const live_peer& peer) { return peer.same_data_centre; });
}

void suspect_turn::Ask(time_point now) {
  wish_.asked = now;
  const peer_id keeper = Keeper();
  if (keeper == Self()) {
    keeper_.SetKeeping(true, !HasNeighbours(), now);
    keeper_.Ask(keeper, wish_.fingerprint, now);
  } else {
    Tell(keeper, {turn_verb::kAsk, wish_.fingerprint, {}});
  }
  if (wish_.upstream) Reserve(wish_.upstream);
}

void suspect_turn::TakeGrants(time_point now) {
  const auto grant = keeper_.Grant(now);
  if (!grant) return;
  if (grant->holder == Self()) return Granted(grant->fingerprint, now);
  // The holder learns what the keeper holds against its suspect first: it may be convicted by now.
  suspect_message news;
  news.news.push_back(poison_.NewsOf(grant->fingerprint, now));
  if (ports_.peers && !news.news.front().cleared) ports_.peers->Send(grant->holder, Encode(news));
  Tell(grant->holder, {turn_verb::kGrant, grant->fingerprint, {}});
}

void suspect_turn::Granted(std::uint64_t fingerprint, time_point now) {
  if (wish_.fingerprint != fingerprint) return;
  wish_.has_grant = true;
  wish_.granted = now;
}

upstream_id suspect_turn::Pick(const request_row& request, time_point now) const {
  const upstream* best = nullptr;
  for (const upstream& row : *ports_.upstreams) {
    if (row.data_centre != ports_.data_centre || !row.TakesWork()) continue;
    if (row.reserved_for_suspect || now < row.avoid_until) continue;
    if (!upstream_index::Serves(row, *request.service)) continue;
    const auto& tried = request.tried;
    if (std::find(tried.begin(), tried.end(), row.id) != tried.end()) continue;
    const auto load = [](const upstream& one) { return one.own_in_flight + one.report.running; };
    if (!best || load(row) < load(*best)) best = &row;
  }
  return best ? best->id : upstream_id();
}

void suspect_turn::Reserve(upstream_id id) {
  if (upstream* row = ports_.upstreams->Find(id)) row->reserved_for_suspect = true;
  TellAll({turn_verb::kReserve, wish_.fingerprint, id});
}

void suspect_turn::Unreserve(upstream_id id) {
  if (!id) return;
  upstream* row = ports_.upstreams->Find(id);
  if (row && others_.count(id) == 0) row->reserved_for_suspect = false;
  TellAll({turn_verb::kFree, 0, id});
  wish_.upstream = upstream_id();
  wish_.empty_at.clear();
}

bool suspect_turn::IsEmpty() const {
  const upstream* row = ports_.upstreams->Find(wish_.upstream);
  if (!row || row->own_in_flight != 0 || RunsHere(wish_.fingerprint)) return false;
  if (!ports_.peers) return true;
  for (const live_peer& peer : ports_.peers->Peers()) {
    if (!peer.same_data_centre || !peer.linked) continue;
    if (wish_.empty_at.count(peer.id) == 0) return false;
  }
  return true;
}

void suspect_turn::Tell(peer_id to, const turn_message& message) {
  if (ports_.peers) ports_.peers->Send(to, Encode(message));
}

void suspect_turn::TellAll(const turn_message& message) {
  if (!ports_.peers) return;
  const peer_message encoded = Encode(message);
  for (const live_peer& peer : ports_.peers->Peers()) {
    if (peer.same_data_centre && peer.linked) ports_.peers->Send(peer.id, encoded);
  }
}

}  // namespace hawthorndrum
