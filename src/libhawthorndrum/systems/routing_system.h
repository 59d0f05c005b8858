/// Chooses the upstream for a request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "systems/load_estimate.h"
#include "systems/own_work.h"
#include "systems/prefix_index.h"
#include "systems/system.h"
#include "systems/upstream_index.h"
#include "tables/request_row.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

class random_source;

/** One upstream that was weighed, and its figures. */
struct routing_candidate {
  upstream_id upstream;
  std::uint64_t cached_tokens = 0;
  std::uint64_t prefill_tokens = 0;
  load_estimate estimate;
  /** `estimate.whole` before it was stretched by what was learnt of the service. */
  duration unstretched{0};
};

/** `chosen` is the place of the best one in `weighed`. */
struct routing_choice {
  std::vector<routing_candidate> weighed;
  std::size_t chosen = 0;

  const routing_candidate& best() const { return weighed[chosen]; }
};

/**
 * Weighs a few candidates by the estimated time to the first token: two places on a hash ring and
 * the best cache candidate. A request that was never answered is drawn by its own hash, so that
 * all daemons weigh the same two upstreams for it and one that crashes upstreams reaches no third;
 * once its like was answered, places are drawn at random and any cache holder counts.
 */
class routing_system : public system {
 public:
  routing_system(upstream_table& upstreams, random_source& random, std::string own_data_centre);

  /** Returns nothing when no upstream takes the request now. */
  std::optional<routing_choice> Choose(const request_row& request, time_point now) const;

  /** The choice of one upstream that was decided otherwise, with its figures. */
  routing_choice ChoiceOf(upstream_id upstream, const request_row& request, time_point now) const;

  /** Whether any upstream is known that serves the service, whether it takes work now or not. */
  bool IsServed(const service_config& service) const;

  /** Whether an upstream that is not known to leave has not been tried yet. */
  bool HasUntried(const request_row& request) const;

  void Run(time_point now) override;

  /** An answer came whole: notes its length and that its like is safe. */
  void Answered(const request_row& request, std::uint64_t output_tokens);
  /** The first attempt of a request took `real` where `estimated` was expected. */
  void Took(const request_row& request, duration real, duration estimated);
  void FirstToken(const request_row& request, upstream_id upstream, time_point now);
  /** Tokens that the request is expected to generate. */
  std::uint64_t ExpectedOutput(const request_row& request) const;

  /** Whether a request of that fingerprint was answered whole lately. */
  bool IsProven(std::uint64_t fingerprint) const;

  bool is_settled() const { return index_.is_settled(); }

  own_work& work() { return work_; }
  prefix_index& prefixes() { return prefixes_; }

 private:
  /** The two places on the ring where the request's candidates are. */
  std::pair<std::uint64_t, std::uint64_t> Places(const request_row& request, bool proven) const;
  bool IsUsable(const upstream& row, const request_row& request, time_point now) const;
  const upstream* AtRing(const upstream_group& group, std::uint64_t place,
                         const request_row& request, upstream_id other, time_point now) const;
  /**
   * Whether an upstream that the request would have gone to failed just now: its like may have
   * crashed it at another daemon, whose word of it is still on the way.
   */
  bool AwaitsNews(const upstream_group& group, std::uint64_t place, const request_row& request,
                  time_point now) const;
  void Weigh(const upstream* row, const request_row& request, time_point now,
             routing_choice& choice) const;
  std::optional<routing_choice> ChooseIn(const upstream_group& group, const request_row& request,
                                         time_point now) const;

  upstream_table& upstreams_;
  random_source& random_;
  upstream_index index_;
  own_work work_;
  prefix_index prefixes_;
  /** Mean tokens of the answers of each service. */
  std::unordered_map<std::string, double> output_tokens_;
  /** How much longer answers take than estimated, for each service. */
  std::unordered_map<std::string, double> stretch_;
  /** Fingerprints answered before, one in each place of a fixed array. */
  std::vector<std::uint64_t> proven_;
};

}  // namespace hawthorndrum
