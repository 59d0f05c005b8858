/// Runs suspects one at a time in the data centre, each alone at its upstream.
#include "systems/suspect_lock.h"

#include <algorithm>
#include <vector>

#include "base/hash.h"
#include "ports/peer_port.h"
#include "systems/poison_system.h"
#include "systems/upstream_index.h"

namespace hawthorndrum {

namespace {

constexpr duration kRenewPeriod = milliseconds(500);
/** A suspect may start only on a grant that was received within this time. */
constexpr duration kGrantValidity = seconds(3);
/** A peer's reservation expires when it is not renewed for this time. */
constexpr duration kReservationValidity = seconds(3);
/** A lock request is dropped when no queued request has needed it for this time. */
constexpr duration kRunRequestExpiry = seconds(1);

std::uint64_t LockKey() { return Hash64("suspect turn"); }

}  // namespace

suspect_lock::suspect_lock(const request_ports& ports, const request_table& requests,
                           poison_system& poison)
    : ports_(ports), requests_(requests), poison_(poison) {}

std::optional<upstream_id> suspect_lock::Advance(const request_row& request, time_point now) {
  if (run_.fingerprint != 0 && run_.fingerprint != request.fingerprint) return std::nullopt;
  if (run_.running) return std::nullopt;
  if (run_.fingerprint == 0) {
    run_ = suspect_run();
    run_.fingerprint = request.fingerprint;
    RequestLock(now);
    ProcessGrant(now);
  }
  run_.last_wanted = now;
  if (!run_.has_grant || now - run_.granted_at > kGrantValidity) return std::nullopt;
  const upstream* row = ports_.upstreams->Find(run_.upstream);
  if (!row || !row->TakesWork() || !upstream_index::Serves(*row, *request.service)) {
    Unreserve(run_.upstream);
    run_.upstream = Pick(request, now);
    if (!run_.upstream) return std::nullopt;
    Reserve(run_.upstream);
  }
  if (!IsIdleEverywhere()) return std::nullopt;
  return run_.upstream;
}

void suspect_lock::Sent(std::uint64_t fingerprint) {
  if (run_.fingerprint == fingerprint) run_.running = true;
}

void suspect_lock::Release(std::uint64_t fingerprint, time_point now) {
  if (run_.fingerprint != fingerprint || fingerprint == 0) return;
  Unreserve(run_.upstream);
  // The peers must receive the outcome before the next suspect gets the lock.
  poison_.Flush(now);
  const suspect_lock_message release{suspect_lock_verb::kRelease, fingerprint, {}};
  if (Coordinator() == Self()) {
    coordinator_.ReleaseLock(Self(), fingerprint);
  } else {
    SendTo(Coordinator(), release);
  }
  run_ = suspect_run();
  ProcessGrant(now);
}

void suspect_lock::OnMessage(peer_id from, const suspect_lock_message& message, time_point now) {
  switch (message.verb) {
    case suspect_lock_verb::kRequest:
      coordinator_.RequestLock(from, message.fingerprint, now);
      return ProcessGrant(now);
    case suspect_lock_verb::kRelease:
      coordinator_.ReleaseLock(from, message.fingerprint);
      return ProcessGrant(now);
    case suspect_lock_verb::kGrant:
      if (from == Coordinator()) OnGranted(message.fingerprint, now);
      return;
    case suspect_lock_verb::kReserve:
      return OnReserve(from, message, now);
    case suspect_lock_verb::kIdle:
      if (message.upstream == run_.upstream && message.fingerprint == run_.fingerprint) {
        run_.idle_peers.insert(from);
      }
      return;
    case suspect_lock_verb::kUnreserve: {
      const auto found = peer_reservations_.find(message.upstream);
      if (found == peer_reservations_.end() || found->second.holder != from) return;
      peer_reservations_.erase(found);
      upstream* row = ports_.upstreams->Find(message.upstream);
      if (row && run_.upstream != message.upstream) row->reserved_for_suspect = false;
      return;
    }
  }
}

void suspect_lock::OnReserve(peer_id from, const suspect_lock_message& message, time_point now) {
  const upstream_id id = message.upstream;
  upstream* row = ports_.upstreams->Find(id);
  if (row) row->reserved_for_suspect = true;
  peer_reservations_[id] = {from, now + kReservationValidity};
  if ((row && row->own_in_flight != 0) || HasCopyInFlight(message.fingerprint)) return;
  // The outcome of a copy that ran here must arrive before the sender starts its suspect.
  poison_.Flush(now);
  SendTo(from, {suspect_lock_verb::kIdle, message.fingerprint, id});
}

bool suspect_lock::HasCopyInFlight(std::uint64_t fingerprint) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const request_row& row) {
    const bool runs =
        row.state == request_state::kInFlight || row.state == request_state::kDetached;
    return runs && row.fingerprint == fingerprint;
  });
}

void suspect_lock::Run(time_point now) {
  coordinator_.SetActive(Coordinator() == Self(), !HasPeersHere(), now);
  for (auto one = peer_reservations_.begin(); one != peer_reservations_.end();) {
    if (now < one->second.until) {
      ++one;
      continue;
    }
    upstream* row = ports_.upstreams->Find(one->first);
    if (row && run_.upstream != one->first) row->reserved_for_suspect = false;
    one = peer_reservations_.erase(one);
  }
  if (run_.fingerprint != 0) {
    if (!run_.running && now - run_.last_wanted > kRunRequestExpiry) Release(run_.fingerprint, now);
    if (run_.fingerprint != 0 && now - run_.requested_at >= kRenewPeriod) RequestLock(now);
  }
  ProcessGrant(now);
}

peer_id suspect_lock::Self() const { return ports_.peers ? ports_.peers->self() : peer_id(1); }

peer_id suspect_lock::Coordinator() const {
  peer_id best = Self();
  if (!ports_.peers) return best;
  std::uint64_t best_score = RendezvousScore(LockKey(), best.value());
  for (const live_peer& peer : ports_.peers->Peers()) {
    if (!peer.same_data_centre || !peer.linked) continue;
    const std::uint64_t score = RendezvousScore(LockKey(), peer.id.value());
    if (score <= best_score) continue;
    best = peer.id;
    best_score = score;
  }
  return best;
}

bool suspect_lock::HasPeersHere() const {
  if (!ports_.peers) return false;
  const auto& peers = ports_.peers->Peers();
  return std::any_of(peers.begin(), peers.end(),
                     [](const live_peer& peer) { return peer.same_data_centre; });
}

void suspect_lock::RequestLock(time_point now) {
  run_.requested_at = now;
  const peer_id coordinator = Coordinator();
  if (coordinator == Self()) {
    coordinator_.SetActive(true, !HasPeersHere(), now);
    coordinator_.RequestLock(coordinator, run_.fingerprint, now);
  } else {
    SendTo(coordinator, {suspect_lock_verb::kRequest, run_.fingerprint, {}});
  }
  if (run_.upstream) Reserve(run_.upstream);
}

void suspect_lock::ProcessGrant(time_point now) {
  const auto grant = coordinator_.Grant(now);
  if (!grant) return;
  if (grant->holder == Self()) return OnGranted(grant->fingerprint, now);
  // Sends the suspect's strikes ahead of the grant: it may be convicted by now.
  suspect_message strikes_update;
  strikes_update.updates.push_back(poison_.UpdateFor(grant->fingerprint, now));
  if (ports_.peers && !strikes_update.updates.front().cleared)
    ports_.peers->Send(grant->holder, Encode(strikes_update));
  SendTo(grant->holder, {suspect_lock_verb::kGrant, grant->fingerprint, {}});
}

void suspect_lock::OnGranted(std::uint64_t fingerprint, time_point now) {
  if (run_.fingerprint != fingerprint) return;
  run_.has_grant = true;
  run_.granted_at = now;
}

upstream_id suspect_lock::Pick(const request_row& request, time_point now) const {
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

void suspect_lock::Reserve(upstream_id id) {
  if (upstream* row = ports_.upstreams->Find(id)) row->reserved_for_suspect = true;
  SendToDataCentre({suspect_lock_verb::kReserve, run_.fingerprint, id});
}

void suspect_lock::Unreserve(upstream_id id) {
  if (!id) return;
  upstream* row = ports_.upstreams->Find(id);
  if (row && peer_reservations_.count(id) == 0) row->reserved_for_suspect = false;
  SendToDataCentre({suspect_lock_verb::kUnreserve, 0, id});
  run_.upstream = upstream_id();
  run_.idle_peers.clear();
}

bool suspect_lock::IsIdleEverywhere() const {
  const upstream* row = ports_.upstreams->Find(run_.upstream);
  if (!row || row->own_in_flight != 0 || HasCopyInFlight(run_.fingerprint)) return false;
  if (!ports_.peers) return true;
  for (const live_peer& peer : ports_.peers->Peers()) {
    if (!peer.same_data_centre || !peer.linked) continue;
    if (run_.idle_peers.count(peer.id) == 0) return false;
  }
  return true;
}

void suspect_lock::SendTo(peer_id to, const suspect_lock_message& message) {
  if (ports_.peers) ports_.peers->Send(to, Encode(message));
}

void suspect_lock::SendToDataCentre(const suspect_lock_message& message) {
  if (!ports_.peers) return;
  const peer_message encoded = Encode(message);
  for (const live_peer& peer : ports_.peers->Peers()) {
    if (peer.same_data_centre && peer.linked) ports_.peers->Send(peer.id, encoded);
  }
}

}  // namespace hawthorndrum
