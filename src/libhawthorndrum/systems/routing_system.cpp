/// Chooses the upstream for a request.
#include "systems/routing_system.h"

#include <algorithm>
#include <utility>

#include "ports/random_source.h"
#include "systems/prefix_chain.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kProvenSlots = 65536;
constexpr double kOutputWeight = 0.1;
constexpr double kInitialOutputTokens = 64;
constexpr double kCorrectionWeight = 0.1;
constexpr double kMaxCorrection = 4;
constexpr double kShortestEstimateSeconds = 0.02;
/** How long after an upstream's failure another daemon's report of a crash may still arrive. */
constexpr duration kFailureReportDelay = milliseconds(250);
constexpr std::uint64_t kSecondPositionFactor = 0x9E3779B97F4A7C15;

/** Returns the index of the first ring point at or after the position. */
std::size_t RingStart(const upstream_group& group, std::uint64_t position) {
  const auto start = std::lower_bound(
      group.ring.begin(), group.ring.end(), position,
      [](const ring_point& point, std::uint64_t wanted) { return point.place < wanted; });
  return static_cast<std::size_t>(start - group.ring.begin());
}

}  // namespace

routing_system::routing_system(upstream_table& upstreams, random_source& random,
                               std::string own_data_centre)
    : upstreams_(upstreams),
      random_(random),
      index_(upstreams, std::move(own_data_centre)),
      work_(upstreams),
      proven_(kProvenSlots) {}

void routing_system::Run(time_point now) { index_.Refresh(now); }

std::optional<routing_choice> routing_system::Choose(const request_row& request,
                                                     time_point now) const {
  const std::uint64_t key = upstream_index::KeyOf(*request.service);
  // The two candidates of a request that was not answered before must be the same at all daemons.
  const bool must_settle = !index_.is_settled() && !IsProven(request.fingerprint);
  if (must_settle && request.service->kind == service_kind::kModel) return std::nullopt;
  if (const upstream_group* own = index_.Find(key, true)) {
    if (auto choice = ChooseIn(*own, request, now)) return choice;
  }
  if (!request.service->spill || request.spilled) return std::nullopt;
  const upstream_group* others = index_.Find(key, false);
  return others ? ChooseIn(*others, request, now) : std::nullopt;
}

bool routing_system::IsServed(const service_config& service) const {
  const std::uint64_t key = upstream_index::KeyOf(service);
  return index_.Find(key, true) || (service.spill && index_.Find(key, false));
}

routing_choice routing_system::ChoiceOf(upstream_id upstream, const request_row& request,
                                        time_point now) const {
  routing_choice choice;
  Weigh(upstreams_.Find(upstream), request, now, choice);
  return choice;
}

bool routing_system::HasUntried(const request_row& request) const {
  const std::uint64_t key = upstream_index::KeyOf(*request.service);
  for (const bool own : {true, false}) {
    const upstream_group* group = own || request.service->spill ? index_.Find(key, own) : nullptr;
    if (!group) continue;
    for (const upstream_id id : group->members) {
      const upstream* row = upstreams_.Find(id);
      if (!row || row->leaving.any()) continue;
      if (std::find(request.tried.begin(), request.tried.end(), id) == request.tried.end()) {
        return true;
      }
    }
  }
  return false;
}

std::optional<routing_choice> routing_system::ChooseIn(const upstream_group& group,
                                                       const request_row& request,
                                                       time_point now) const {
  routing_choice choice;
  if (request.preferred) {
    const upstream* row = upstreams_.Find(request.preferred);
    if (row && IsUsable(*row, request, now)) {
      Weigh(row, request, now, choice);
      return choice;
    }
  }
  const bool proven = IsProven(request.fingerprint);
  const auto [first_position, second_position] = RingPositions(request, proven);
  if (!proven && (AwaitsFailureReport(group, first_position, request, now) ||
                  AwaitsFailureReport(group, second_position, request, now))) {
    return std::nullopt;
  }
  const upstream* first = FindOnRing(group, first_position, request, upstream_id(), now);
  if (!first) return std::nullopt;
  Weigh(first, request, now, choice);
  Weigh(FindOnRing(group, second_position, request, first->id, now), request, now, choice);
  if (proven) {
    for (const upstream_id holder : prefixes_.BestHolders(request.prefix, now)) {
      const upstream* row = upstreams_.Find(holder);
      if (row && IsUsable(*row, request, now)) Weigh(row, request, now, choice);
    }
  }
  const auto best = std::min_element(choice.weighed.begin(), choice.weighed.end(),
                                     [](const routing_candidate& a, const routing_candidate& b) {
                                       return a.estimate.first_token < b.estimate.first_token;
                                     });
  choice.chosen = static_cast<std::size_t>(best - choice.weighed.begin());
  return choice;
}

std::pair<std::uint64_t, std::uint64_t> routing_system::RingPositions(const request_row& request,
                                                                      bool proven) const {
  if (proven) return {random_.Draw(), random_.Draw()};
  // Requests that share a first piece share a ring position; it comes first, so that it wins ties.
  if (!request.prefix.empty()) return {request.prefix.front(), request.fingerprint};
  return {request.fingerprint, request.fingerprint * kSecondPositionFactor};
}

bool routing_system::IsUsable(const upstream& row, const request_row& request,
                              time_point now) const {
  if (!row.TakesWork() || row.reserved_for_suspect || now < row.avoid_until) return false;
  if (!upstream_index::Serves(row, *request.service)) return false;
  const auto& tried = request.tried;
  return std::find(tried.begin(), tried.end(), row.id) == tried.end();
}

const upstream* routing_system::FindOnRing(const upstream_group& group, std::uint64_t position,
                                           const request_row& request, upstream_id other,
                                           time_point now) const {
  const auto& ring = group.ring;
  std::size_t at = RingStart(group, position);
  for (std::size_t step = 0; step < ring.size(); ++step, ++at) {
    const upstream_id id = ring[at % ring.size()].id;
    if (id == other) continue;
    const upstream* row = upstreams_.Find(id);
    if (row && IsUsable(*row, request, now)) return row;
  }
  return nullptr;
}

bool routing_system::AwaitsFailureReport(const upstream_group& group, std::uint64_t position,
                                         const request_row& request, time_point now) const {
  const auto& ring = group.ring;
  std::size_t at = RingStart(group, position);
  std::size_t usable = 0;
  upstream_id first;
  for (std::size_t step = 0; step < ring.size(); ++step, ++at) {
    const upstream* row = upstreams_.Find(ring[at % ring.size()].id);
    if (!row || row->id == first) continue;
    const bool failed_now =
        row->last_failure != time_point() && now - row->last_failure < kFailureReportDelay;
    if (failed_now && !row->leaving.any()) return true;
    if (!IsUsable(*row, request, now)) continue;
    // When both positions lead to the same upstream, the second candidate is the next on the ring.
    if (++usable == 2) return false;
    first = row->id;
  }
  return false;
}

void routing_system::Weigh(const upstream* row, const request_row& request, time_point now,
                           routing_choice& choice) const {
  if (!row) return;
  for (const routing_candidate& weighed : choice.weighed) {
    if (weighed.upstream == row->id) return;
  }
  routing_candidate candidate;
  candidate.upstream = row->id;
  const std::uint64_t held = prefixes_.HeldPieces(row->id, request.prefix, now) * kPieceTokens;
  candidate.cached_tokens = std::min(held, request.prompt_tokens);
  candidate.prefill_tokens = request.prompt_tokens - candidate.cached_tokens;
  const work_shape shape{candidate.prefill_tokens, ExpectedOutput(request)};
  candidate.estimate = EstimateLoad(*row, work_, shape, now);
  candidate.uncorrected_whole = candidate.estimate.whole;
  const auto correction = corrections_.find(request.service->name);
  if (correction != corrections_.end()) {
    const std::chrono::duration<double> whole(ToSeconds(candidate.estimate.whole) *
                                              correction->second);
    candidate.estimate.whole = std::chrono::duration_cast<duration>(whole);
  }
  choice.weighed.push_back(candidate);
}

std::uint64_t routing_system::ExpectedOutput(const request_row& request) const {
  const auto found = output_tokens_.find(request.service->name);
  const double mean = found == output_tokens_.end() ? kInitialOutputTokens : found->second;
  return std::min(static_cast<std::uint64_t>(mean), request.max_tokens);
}

void routing_system::RecordAnswer(const request_row& request, std::uint64_t output_tokens) {
  proven_[request.fingerprint % kProvenSlots] = request.fingerprint;
  if (request.service->kind != service_kind::kModel) return;
  const auto tokens = static_cast<double>(output_tokens);
  auto [found, added] = output_tokens_.try_emplace(request.service->name, tokens);
  if (!added) found->second += kOutputWeight * (tokens - found->second);
}

void routing_system::RecordDuration(const request_row& request, duration actual,
                                    duration estimated) {
  double& correction = corrections_.try_emplace(request.service->name, 1).first->second;
  const double ratio = ToSeconds(actual) / std::max(ToSeconds(estimated), kShortestEstimateSeconds);
  const double wanted = std::clamp(ratio, 1.0, kMaxCorrection);
  correction += kCorrectionWeight * (wanted - correction);
}

void routing_system::RecordCachedPrefix(const request_row& request, upstream_id upstream,
                                        time_point now) {
  for (const std::uint64_t piece : request.prefix) prefixes_.Stored(upstream, piece, now);
}

bool routing_system::IsProven(std::uint64_t fingerprint) const {
  return proven_[fingerprint % kProvenSlots] == fingerprint;
}

}  // namespace hawthorndrum
