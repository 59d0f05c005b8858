/// Chooses the engines for a generation.
///
/// The load has long prompts with shared prefixes, and the mix shifts between long prompts and long
/// answers. Prefill is the engines' scarcest resource, so a prompt goes where its shared parts were
/// prefilled before, unless the wait there costs more than another prefill.
#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "crossing/crossing_room.h"
#include "gateway/placement.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

class crossing_policy;
class engine_speeds;
class random_source;
class fleet_table;
struct fleet_upstream;
struct gateway_service;

/**
 * Ranks all engines of the service by the expected time to the first token: the prefill queue, the
 * part of the prompt that is not in the engine's cache, and the KV cache transfer if the prompt is
 * prefilled elsewhere. Rendezvous hashing gives each group of prompts with the same shared parts an
 * affinity engine in each stage, the same at every daemon, which is assumed to hold those parts.
 * Decode engines prefill only what fits into the pauses of the streams that run there. The decode
 * engine is the best of a small random sample, since all daemons see the same idle engine.
 */
class engine_placement {
 public:
  engine_placement(fleet_table& fleet, const engine_speeds& speeds, random_source& random,
                   crossing_policy& crossing);

  tl::expected<placement, placement_failure> Choose(const placement_query& query,
                                                    time_point now) const;

 private:
  /** An engine with its estimated costs, in milliseconds. */
  struct candidate {
    const fleet_upstream* row = nullptr;
    /** Prompt tokens that are not in its cache. */
    std::uint64_t unread = 0;
    /** Time to work off the prefill queue. */
    double wait_ms = 0;
    /** Time to prefill the prompt. */
    double prefill_ms = 0;
    /** Time until a slot is free. */
    double slot_wait_ms = 0;
    /** Time that running there takes besides the prefill. */
    double run_ms = 0;
    /** Penalty for the time that other requests lose to the prefill; not part of the latency. */
    double penalty_ms = 0;
    /** Penalty for recent failures and refusals of the engine. */
    double risk_ms = 0;
    /** Price of the bytes that a call there moves between data centres. */
    double price_ms = 0;

    /** Returns the cost of decoding there after a prefill elsewhere. */
    double DecodeCostMs() const { return DecodeMs() + risk_ms + price_ms; }
    /** Returns the expected time of decoding there. */
    double DecodeMs() const { return run_ms + slot_wait_ms + wait_ms; }
    /** Returns the cost of the prefill there. */
    double PrefillCostMs() const {
      return wait_ms + slot_wait_ms + prefill_ms + penalty_ms + risk_ms;
    }
  };

  /** The engines that are considered for one request. */
  using candidates = std::vector<const candidate*>;
  std::vector<candidate> Candidates(const placement_query& query, time_point now) const;
  /** Estimates the time and the penalty of the prefill there. */
  void EstimatePrefill(const placement_query& query, bool has_affinity, double repeat_factor,
                       time_point now, candidate& each) const;
  /** Returns how many streams at a decode engine would be late for the prefill there. */
  double LateStreams(const placement_query& query, const candidate& each) const;
  /** The first and second affinity engine of a shared key in one stage. */
  struct affinity_engines {
    const fleet_upstream* first = nullptr;
    const fleet_upstream* second = nullptr;
  };
  static affinity_engines AffinityOf(std::uint64_t key, engine_stage stage,
                                     const std::vector<candidate>& among);
  /**
   * Returns the cheapest of a few decode engines, sampled from one data centre and from all; null
   * when there is none.
   */
  const candidate* SampleDecodeEngine(const candidates& among, const std::string& near_data_centre,
                                      const std::function<double(const candidate&)>& cost_ms) const;
  double RunCost(const fleet_upstream& row, const placement_query& query) const;
  static double SlotWaitMs(const fleet_upstream& row);
  /** A place for a request, and its estimated times and costs in milliseconds. */
  struct option {
    placement place;
    double wait_ms = 0;
    double work_ms = 0;
    /** Of the call to others, failures included. */
    double penalty_ms = 0;
    /** The part of it for recent failures. */
    double risk_ms = 0;
    /** Of the bytes that leave the data centre. */
    double price_ms = 0;

    double ExpectedMs() const { return wait_ms + work_ms; }
    double CostMs() const { return wait_ms + work_ms + penalty_ms + price_ms; }
  };
  option RunThere(const candidate& at, const placement_query& query) const;
  option Split(const candidate& prefill_engine, const candidate& decode_engine,
               const placement_query& query) const;
  /** Returns the best option among these engines. */
  tl::expected<option, placement_failure> ChooseAmong(const candidates& among,
                                                      const placement_query& query) const;
  /** Returns the bytes that a call to an engine of that stage moves. */
  static double BytesOf(const placement_query& query, engine_stage stage);
  /** Returns the data centre that the option leaves for; null if it stays. */
  const std::string* LeavesFor(const option& chosen) const;
  /** Returns why the request leaves with this option, or that it stays with the near one. */
  crossing_reason WhyLeave(const option& chosen,
                           const tl::expected<option, placement_failure>& near,
                           const placement_query& query, time_point now) const;
  crossing_room RoomIn(const std::string& service, const std::string& data_centre,
                       time_point now) const;
  /** Returns how long a new request may wait before an engine starts on it. */
  static double LongestWaitMs(const placement_query& query);
  /** Returns the time to transfer the KV cache of `tokens`, in milliseconds. */
  static double TransferMs(std::uint64_t tokens, const gateway_service& service);
  /** Returns the time that a prefill elsewhere adds. */
  double SplitMs(const fleet_upstream& from, const fleet_upstream& to,
                 const placement_query& query) const;
  /** Returns the price of the KV cache's bytes, if it leaves its data centre. */
  double TransferPriceMs(const fleet_upstream& from, const fleet_upstream& to,
                         const placement_query& query) const;

  fleet_table& fleet_;
  const engine_speeds& speeds_;
  random_source& random_;
  crossing_policy& crossing_;
};

}  // namespace hawthorndrum
