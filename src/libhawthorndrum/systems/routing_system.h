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

/** One candidate upstream and its estimates. */
struct routing_candidate {
  upstream_id upstream;
  std::uint64_t cached_tokens = 0;
  std::uint64_t prefill_tokens = 0;
  load_estimate estimate;
  /** `estimate.whole` before the service's correction factor was applied. */
  duration uncorrected_whole{0};
};

/** `chosen` is the index of the best candidate in `weighed`. */
struct routing_choice {
  std::vector<routing_candidate> weighed;
  std::size_t chosen = 0;

  const routing_candidate& best() const { return weighed[chosen]; }
};

/**
 * Compares a few candidates by their estimated time to the first token: two from a hash ring, and
 * the upstreams that hold the longest part of the prompt in their caches. For a request whose
 * fingerprint has not been answered before, the ring positions are hashes of the request itself,
 * so that all daemons compare the same two upstreams and a request that crashes upstreams reaches
 * no third. After an answer, the positions are random and cache holders are candidates too.
 */
class routing_system : public system {
 public:
  routing_system(upstream_table& upstreams, random_source& random, std::string own_data_centre);

  /** Returns nothing when no upstream can take the request now. */
  std::optional<routing_choice> Choose(const request_row& request, time_point now) const;

  /** Returns a choice of the given upstream, which was selected elsewhere, with its estimates. */
  routing_choice ChoiceOf(upstream_id upstream, const request_row& request, time_point now) const;

  /** Returns whether any known upstream serves the service, whether it takes work now or not. */
  bool IsServed(const service_config& service) const;

  /** Returns whether an upstream that is not known to be leaving has not been tried yet. */
  bool HasUntried(const request_row& request) const;

  void Run(time_point now) override;

  /** Records a complete answer: its length, and that its fingerprint is safe to run. */
  void RecordAnswer(const request_row& request, std::uint64_t output_tokens);
  /** Records that the first attempt of a request took `actual` where `estimated` was expected. */
  void RecordDuration(const request_row& request, duration actual, duration estimated);
  void RecordCachedPrefix(const request_row& request, upstream_id upstream, time_point now);
  /** Returns how many tokens the request is expected to generate. */
  std::uint64_t ExpectedOutput(const request_row& request) const;

  /** Returns whether a complete answer to that fingerprint is still recorded. */
  bool IsProven(std::uint64_t fingerprint) const;

  bool is_settled() const { return index_.is_settled(); }

  own_work& work() { return work_; }
  prefix_index& prefixes() { return prefixes_; }

 private:
  /** Returns the two ring positions of the request's candidates. */
  std::pair<std::uint64_t, std::uint64_t> RingPositions(const request_row& request,
                                                        bool proven) const;
  bool IsUsable(const upstream& row, const request_row& request, time_point now) const;
  const upstream* FindOnRing(const upstream_group& group, std::uint64_t position,
                             const request_row& request, upstream_id other, time_point now) const;
  /**
   * Returns whether an upstream that the request would have gone to has just failed: a request
   * with the same fingerprint may have crashed it at another daemon, whose report is still on its
   * way.
   */
  bool AwaitsFailureReport(const upstream_group& group, std::uint64_t position,
                           const request_row& request, time_point now) const;
  void Weigh(const upstream* row, const request_row& request, time_point now,
             routing_choice& choice) const;
  std::optional<routing_choice> ChooseIn(const upstream_group& group, const request_row& request,
                                         time_point now) const;

  upstream_table& upstreams_;
  random_source& random_;
  upstream_index index_;
  own_work work_;
  prefix_index prefixes_;
  /** Moving average of the tokens per answer, for each service. */
  std::unordered_map<std::string, double> output_tokens_;
  /** Factor by which answers take longer than estimated, for each service. */
  std::unordered_map<std::string, double> corrections_;
  /** Fingerprints answered before, in a fixed-size hash table; a newer one replaces an older one in
   * its slot. */
  std::vector<std::uint64_t> proven_;
};

}  // namespace hawthorndrum
