/// Builds a daemon's own notice or the digest of its data centre.
#include "gateway/notice_exchange.h"

#include <algorithm>
#include <utility>

#include "gateway/daemon_directory.h"
#include "gateway/gateway.h"

namespace hawthorndrum {

namespace {

/**
 * The period grows with the number of daemons, which bounds the datagrams that a collector sends a
 * second; its upper limit keeps the reported load recent.
 */
constexpr duration kPeriodPerDaemon = milliseconds(3);
constexpr duration kMinPeriod = milliseconds(50);
constexpr duration kMaxPeriod = milliseconds(250);

}  // namespace

notice_exchange::notice_exchange(gateway& served, const daemon_directory& daemons,
                                 std::string own_name, std::string own_data_centre)
    : gateway_(served),
      daemons_(daemons),
      own_name_(std::move(own_name)),
      own_data_centre_(std::move(own_data_centre)) {}

duration notice_exchange::Period() const {
  const auto others = static_cast<std::int64_t>(daemons_.others().size());
  return std::clamp<duration>(kPeriodPerDaemon * others, kMinPeriod, kMaxPeriod);
}

std::string notice_exchange::Collector(time_point now) {
  std::string first = own_name_;
  for (const daemon_record& other : daemons_.others()) {
    if (other.data_centre != own_data_centre_ || other.name > first) continue;
    const auto skipped = skipped_until_.find(other.name);
    if (skipped == skipped_until_.end() || now >= skipped->second) first = other.name;
  }
  return first;
}

std::optional<outgoing_notice> notice_exchange::Run(time_point now) {
  if (now < next_send_ || daemons_.others().empty()) return std::nullopt;
  next_send_ = now + Period();
  peer_load_table& peer_loads = gateway_.peers();
  std::string collector = Collector(now);
  if (collector != collector_) {
    collector_ = collector;
    collector_since_ = now;
  }
  if (collector != own_name_) {
    const time_point last_received_at =
        std::max(peer_loads.DigestReceivedAt(collector), collector_since_);
    if (now - last_received_at > kCollectorTimeout) {
      skipped_until_[collector] = now + kCollectorSkipTime;
      collector = Collector(now);
    }
  }
  outgoing_notice out;
  const load_notice own = gateway_.MakeNotice();
  if (collector == own_name_ || peer_loads.HasMembers()) {
    out.notice = peer_loads.MakeDigest(own, now);
    for (const daemon_record& other : daemons_.others()) {
      out.addresses.push_back(other.notices_address);
    }
    return out;
  }
  out.notice = own;
  for (const daemon_record& other : daemons_.others()) {
    if (other.name == collector) out.addresses.push_back(other.notices_address);
  }
  return out;
}

}  // namespace hawthorndrum
