/// Ranks daemons and excludes those that serve no requests or cannot be reached.
#include "relay/relay_peers.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

/** Limits the backoff of daemons that cannot be reached. */
constexpr int kMaxDoublings = 3;

}  // namespace

relay_peers::relay_peers(std::string own_host, random_source& random)
    : own_host_(std::move(own_host)), random_(random) {}

void relay_peers::SetDaemons(const std::vector<daemon_record>& others) {
  std::vector<candidate> ranked;
  ranked.reserve(others.size());
  const std::uint64_t key = Hash64(own_host_);
  for (const daemon_record& record : others) {
    candidate each;
    if (const candidate* known = Find(record.name)) each = *known;
    each.record = record;
    each.score = RendezvousScore(key, Hash64(record.name));
    ranked.push_back(std::move(each));
  }
  const std::size_t kept = std::min(kRanked, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(),
                    [](const candidate& a, const candidate& b) { return a.score > b.score; });
  ranked.resize(kept);
  ranked_ = std::move(ranked);
}

std::optional<daemon_record> relay_peers::Choose(const std::vector<std::string>& tried,
                                                 time_point now) const {
  std::vector<const candidate*> partners;
  std::vector<const candidate*> silent;
  for (const candidate& each : ranked_) {
    if (partners.size() == kPartners) break;
    if (now < each.excluded_until) continue;
    if (std::find(tried.begin(), tried.end(), each.record.name) != tried.end()) continue;
    (now < each.avoid_until ? silent : partners).push_back(&each);
  }
  if (partners.empty()) partners = std::move(silent);
  if (partners.empty()) return std::nullopt;
  const candidate* first = partners[random_.Below(partners.size())];
  const candidate* second = partners[random_.Below(partners.size())];
  return (second->open < first->open ? second : first)->record;
}

relay_peers::candidate* relay_peers::Find(const std::string& host) {
  const auto found = std::find_if(ranked_.begin(), ranked_.end(),
                                  [&](const candidate& each) { return each.record.name == host; });
  return found == ranked_.end() ? nullptr : &*found;
}

void relay_peers::OnSent(const std::string& host) {
  if (candidate* peer = Find(host)) peer->open += 1;
}

void relay_peers::OnEnded(const std::string& host) {
  candidate* peer = Find(host);
  if (peer != nullptr && peer->open > 0) peer->open -= 1;
}

void relay_peers::OnAnswered(const std::string& host) {
  candidate* peer = Find(host);
  if (peer == nullptr) return;
  peer->failures = 0;
  peer->avoid_until = time_point();
}

void relay_peers::OnSilent(const std::string& host, time_point now) {
  if (candidate* peer = Find(host)) peer->avoid_until = now + kSilentAvoidance;
}

void relay_peers::OnUnavailable(const std::string& host, time_point now) {
  if (candidate* peer = Find(host)) peer->excluded_until = now + kUnavailableExclusion;
}

void relay_peers::OnUnreachable(const std::string& host, time_point now) {
  candidate* peer = Find(host);
  // Several calls may fail for the same reason.
  if (peer == nullptr || now < peer->excluded_until) return;
  const int doublings = std::min(peer->failures, kMaxDoublings);
  peer->failures += 1;
  peer->excluded_until =
      now + std::min<duration>(kUnreachableExclusion * (1 << doublings), kMaxExclusion);
}

}  // namespace hawthorndrum
