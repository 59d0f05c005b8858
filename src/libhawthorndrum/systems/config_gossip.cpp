/// Sends and receives announcements and status messages.
#include "systems/config_gossip.h"

#include <algorithm>

#include "ports/random_source.h"
#include "systems/config_message_codec.h"

namespace hawthorndrum {
namespace {

constexpr duration kAnnouncementInterval = seconds(1);
constexpr duration kStatusInterval = seconds(10);
constexpr std::size_t kMaxDataCentres = 256;
/** A data centre silent for longer counts as decommissioned, not as partitioned. */
constexpr duration kDataCentreExpiry = std::chrono::hours(1);

}  // namespace

config_gossip::config_gossip(peer_port& peers, random_source& random, std::string address,
                             std::string data_centre)
    : peers_(peers),
      random_(random),
      address_(std::move(address)),
      data_centre_(std::move(data_centre)) {}

config_announcement config_gossip::OwnAnnouncement() const {
  return {current_, head_, address_, data_centre_};
}

void config_gossip::SetCurrent(generation number, const content_digest& head) {
  current_ = number;
  head_ = head;
  const peer_message message = EncodeMessage(OwnAnnouncement());
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.linked) peers_.Send(peer.id, message);
  }
}

void config_gossip::Run(time_point now) {
  now_ = now;
  if (now < next_announcement_) return;
  next_announcement_ = now + kAnnouncementInterval;
  RemoveDeadPeers();
  RemoveExpiredDataCentres();
  AnnounceToOne(true);
  AnnounceToOne(false);
  SendOwnStatus();
}

void config_gossip::AnnounceToOne(bool same_data_centre) {
  std::vector<peer_id> candidates;
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.linked && peer.same_data_centre == same_data_centre) candidates.push_back(peer.id);
  }
  if (candidates.empty()) return;
  peers_.Send(candidates[random_.Below(candidates.size())], EncodeMessage(OwnAnnouncement()));
}

void config_gossip::OnAnnouncement(peer_id from, const config_announcement& announcement) {
  announcements_[from] = announcement;
  if (announcement.number < current_) peers_.Send(from, EncodeMessage(OwnAnnouncement()));
}

const config_announcement* config_gossip::LastAnnouncement(peer_id peer) const {
  const auto found = announcements_.find(peer);
  return found == announcements_.end() ? nullptr : &found->second;
}

const config_announcement* config_gossip::NewestAnnouncement() const {
  const config_announcement* newest = nullptr;
  for (const auto& [peer, announcement] : announcements_) {
    if (newest == nullptr || newest->number < announcement.number) newest = &announcement;
  }
  return newest;
}

config_status config_gossip::OwnStatus() const {
  config_status status;
  status.data_centre = data_centre_;
  status.daemons = 1;
  status.lowest = current_;
  std::vector<lagging_daemon> others;
  for (const live_peer& peer : peers_.Peers()) {
    if (!peer.same_data_centre) continue;
    status.daemons += 1;
    const auto found = announcements_.find(peer.id);
    const bool known = found != announcements_.end();
    const generation number = known ? found->second.number : generation();
    const std::string name =
        known ? found->second.address : "peer " + std::to_string(peer.id.value());
    others.push_back({name, number});
    status.lowest = std::min(status.lowest, number);
  }
  for (const lagging_daemon& daemon : others) {
    const bool room = status.lagging.size() < kMaxLaggingListed;
    if (daemon.number < current_ && room) status.lagging.push_back(daemon);
  }
  return status;
}

void config_gossip::SendOwnStatus() {
  const config_status status = OwnStatus();
  if (status == last_sent_ && now_ < next_status_) return;
  bool sent = false;
  for (const live_peer& peer : peers_.Peers()) {
    if (!peer.linked || peer.same_data_centre) continue;
    peers_.Send(peer.id, EncodeMessage(status));
    sent = true;
  }
  if (!sent) return;
  last_sent_ = status;
  next_status_ = now_ + kStatusInterval;
}

void config_gossip::OnStatus(peer_id from, const config_status& status) {
  if (status.data_centre == data_centre_) return;
  const auto found = remote_.find(status.data_centre);
  if (found == remote_.end() && remote_.size() >= kMaxDataCentres) return;
  remote_[status.data_centre] = {status, now_};
  if (!status.forwarded) Forward(status);
}

void config_gossip::Forward(const config_status& status) {
  config_status forwarded = status;
  forwarded.forwarded = true;
  const peer_message message = EncodeMessage(forwarded);
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.linked && peer.same_data_centre) peers_.Send(peer.id, message);
  }
}

void config_gossip::RemoveDeadPeers() {
  const std::vector<live_peer>& alive = peers_.Peers();
  for (auto one = announcements_.begin(); one != announcements_.end();) {
    const bool gone = std::none_of(alive.begin(), alive.end(),
                                   [&](const live_peer& peer) { return peer.id == one->first; });
    one = gone ? announcements_.erase(one) : std::next(one);
  }
}

void config_gossip::RemoveExpiredDataCentres() {
  for (auto one = remote_.begin(); one != remote_.end();) {
    const bool gone = now_ - one->second.received_at > kDataCentreExpiry;
    one = gone ? remote_.erase(one) : std::next(one);
  }
}

}  // namespace hawthorndrum
