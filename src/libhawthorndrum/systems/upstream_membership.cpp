/// Applies the host list to the upstream table, and combines all sources that report an upstream as
/// leaving.
#include "systems/upstream_membership.h"

#include <algorithm>

#include "base/hash.h"

namespace hawthorndrum {

namespace {

constexpr duration kRunInterval = milliseconds(100);
/**
 * The message is repeated this often, while any upstream leaves or an operator's drain is known,
 * and for a while after a change.
 */
constexpr duration kRepeatInterval = seconds(10);
constexpr duration kRepeatAfterChange = seconds(30);
/** What a daemon saw leaving still counts for this long after the daemon is gone. */
constexpr duration kGonePeerExpiry = seconds(60);
/** In a table with fewer rows, all may leave at once. */
constexpr std::size_t kMinRowsForLossCheck = 4;
constexpr std::size_t kMaxDrainRequests = 8192;

}  // namespace

upstream_membership::upstream_membership(std::string data_centre, upstream_table& upstreams,
                                         peer_port& peers, const clock& time,
                                         metrics_registry& metrics)
    : data_centre_(std::move(data_centre)),
      upstreams_(upstreams),
      peers_(peers),
      clock_(time),
      held_back_lists_(metrics.Counter("hawthorndrum_host_lists_held_back_total")),
      rows_(metrics.Counter("hawthorndrum_upstreams", MetricLabel("state", "known"))),
      leaving_rows_(metrics.Counter("hawthorndrum_upstreams", MetricLabel("state", "leaving"))),
      malformed_(metrics.Counter("hawthorndrum_peer_messages_malformed_total",
                                 MetricLabel("part", "leaving"))) {}

void upstream_membership::OnHostList(boost::span<const host_entry> hosts) {
  const time_point now = clock_.Now();
  std::set<upstream_id> listed;
  for (const host_entry& host : hosts) {
    if (host.kind == host_kind::kDaemon || host.data_centre != data_centre_) continue;
    listed.insert(UpstreamIdOf(host.address));
  }
  const bool held_back = LosesTooMany(listed, now);
  if (held_back) held_back_lists_.Add();
  for (const host_entry& host : hosts) {
    if (host.kind != host_kind::kDaemon && host.data_centre == data_centre_) Apply(host);
  }
  for (upstream& row : upstreams_) {
    if (listed.count(row.id) != 0) {
      unlisted_since_.erase(row.id);
    } else if (!held_back) {
      unlisted_since_.try_emplace(row.id, now);
      row.leaving.host_list = true;
    }
  }
  next_run_ = now;
}

bool upstream_membership::LosesTooMany(const std::set<upstream_id>& listed, time_point now) {
  std::size_t present = 0;
  std::size_t lost = 0;
  for (const upstream& row : upstreams_) {
    if (unlisted_since_.count(row.id) != 0) continue;
    ++present;
    if (listed.count(row.id) == 0) ++lost;
  }
  if (present < kMinRowsForLossCheck || lost * 2 <= present) {
    loss_since_ = time_point();
    return false;
  }
  if (loss_since_ == time_point()) loss_since_ = now;
  return now - loss_since_ < kLossAcceptedAfter;
}

void upstream_membership::Apply(const host_entry& host) {
  const upstream_id id = UpstreamIdOf(host.address);
  upstream* row = upstreams_.Find(id);
  if (row == nullptr) {
    upstream added_row;
    added_row.id = id;
    added_row.address = host.address;
    row = &upstreams_.Insert(std::move(added_row));
  }
  row->kind = host.kind;
  row->pool = host.pool;
  row->data_centre = host.data_centre;
  row->checks_fencing = host.checks_fencing;
  row->host_incarnation = host.incarnation;
  row->leaving.host_list = host.leaving;
}

expected<void> upstream_membership::Drain(std::string_view address, bool drain) {
  const upstream_id id = UpstreamIdOf(address);
  if (upstreams_.Find(id) == nullptr) {
    return tl::make_unexpected(
        error{error_code::kNotFound, "no such upstream: " + std::string(address)});
  }
  operator_drain& drain_request = drain_requests_[id];
  drain_request = {id, drain_request.version + 1, drain};
  drain_requests_changed_ = true;
  next_run_ = clock_.Now();
  return {};
}

void upstream_membership::OnPeerMessage(peer_id from, const peer_message& message) {
  const std::optional<leaving_message> received = DecodeLeaving(message);
  if (!received) {
    malformed_.Add();
    return;
  }
  peer_report& report_of_peer = peer_reports_[from];
  report_of_peer.seen = std::set<upstream_id>(received->seen.begin(), received->seen.end());
  report_of_peer.last_alive = clock_.Now();
  for (const operator_drain& drain_request : received->drain_requests) {
    if (drain_requests_.size() >= kMaxDrainRequests) break;
    const auto [present, added] = drain_requests_.try_emplace(drain_request.id, drain_request);
    if (!added && drain_request.TakesPrecedenceOver(present->second))
      present->second = drain_request;
  }
  next_run_ = clock_.Now();
}

void upstream_membership::UpdateLeaving() {
  std::set<upstream_id> seen_by_peers;
  for (const auto& [peer, report_of_peer] : peer_reports_) {
    seen_by_peers.insert(report_of_peer.seen.begin(), report_of_peer.seen.end());
  }
  std::size_t leaving = 0;
  for (upstream& row : upstreams_) {
    row.leaving.engine = row.has_report && row.report.state == engine_state::kDraining;
    row.leaving.peer = seen_by_peers.count(row.id) != 0;
    const auto drain_request = drain_requests_.find(row.id);
    row.leaving.operator_order =
        drain_request != drain_requests_.end() && drain_request->second.drain;
    if (row.leaving.any()) ++leaving;
  }
  rows_.Set(upstreams_.size());
  leaving_rows_.Set(leaving);
}

leaving_message upstream_membership::OwnMessage() const {
  leaving_message own;
  for (const upstream& row : upstreams_) {
    if (row.leaving.host_list || row.leaving.engine) own.seen.push_back(row.id);
  }
  std::sort(own.seen.begin(), own.seen.end());
  for (const auto& [id, drain_request] : drain_requests_)
    own.drain_requests.push_back(drain_request);
  return own;
}

void upstream_membership::SendMessages(time_point now) {
  const leaving_message own = OwnMessage();
  const bool changed = own.seen != last_seen_ || drain_requests_changed_;
  if (changed) last_change_ = now;
  last_seen_ = own.seen;
  drain_requests_changed_ = false;
  const bool has_any = !own.seen.empty() || !own.drain_requests.empty();
  const bool recent = now - last_change_ < kRepeatAfterChange;
  const bool repeat = (has_any || recent) && now >= next_repeat_;
  if (repeat) next_repeat_ = now + kRepeatInterval;
  const peer_message message = Encode(own);
  std::unordered_map<peer_id, incarnation_id> sent_to;
  for (const live_peer& peer : peers_.Peers()) {
    if (!peer.same_data_centre || !peer.linked) continue;
    const auto before = sent_to_.find(peer.id);
    const bool is_new = before == sent_to_.end() || before->second != peer.incarnation;
    sent_to[peer.id] = peer.incarnation;
    if (changed || repeat || (is_new && has_any)) peers_.Send(peer.id, message);
  }
  sent_to_ = std::move(sent_to);
}

void upstream_membership::ExpireGonePeers(time_point now) {
  for (const live_peer& peer : peers_.Peers()) {
    const auto report_of_peer = peer_reports_.find(peer.id);
    if (report_of_peer != peer_reports_.end()) report_of_peer->second.last_alive = now;
  }
  for (auto it = peer_reports_.begin(); it != peer_reports_.end();) {
    const bool gone = now - it->second.last_alive > kGonePeerExpiry;
    it = gone ? peer_reports_.erase(it) : std::next(it);
  }
}

void upstream_membership::EraseUnlisted(time_point now) {
  std::vector<upstream_id> gone;
  for (const auto& [id, since] : unlisted_since_) {
    const upstream* row = upstreams_.Find(id);
    const bool idle = row == nullptr || row->own_in_flight == 0;
    if (idle && now - since > kEraseAfter) gone.push_back(id);
  }
  for (const upstream_id id : gone) {
    upstreams_.Erase(id);
    unlisted_since_.erase(id);
    drain_requests_.erase(id);
  }
}

void upstream_membership::Run(time_point now) {
  if (now < next_run_) return;
  next_run_ = now + kRunInterval;
  ExpireGonePeers(now);
  EraseUnlisted(now);
  UpdateLeaving();
  SendMessages(now);
}

std::size_t upstream_membership::MemoryBytes() const {
  constexpr std::size_t kNode = 4 * sizeof(void*);
  std::size_t bytes = 0;
  for (const upstream& row : upstreams_) {
    bytes += sizeof(upstream) + row.address.capacity() + row.pool.capacity() + kNode;
    for (const loaded_model& model : row.report.models) {
      bytes += sizeof(loaded_model) + model.name.capacity() + model.version.capacity();
      for (const std::string& adapter : model.adapters) bytes += adapter.capacity() + kNode;
    }
  }
  for (const auto& [peer, report_of_peer] : peer_reports_)
    bytes += report_of_peer.seen.size() * 2 * kNode;
  return bytes + drain_requests_.size() * (sizeof(operator_drain) + kNode);
}

}  // namespace hawthorndrum
