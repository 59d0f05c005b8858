/// Chooses the engines for a generation.
///
/// Answers the load of long prompts whose first parts are shared, in a mix that shifts between long
/// prompts and long answers: reading prompts is what engines have least room for, so a prompt goes
/// where its shared parts were read before, unless the wait there costs more than reading again.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "gateway/placement.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

class engine_speeds;
class random_source;
class fleet_table;
struct fleet_upstream;
struct gateway_service;

/**
 * Weighs all engines of the service by the expected time to the first token: what waits there to
 * be read, what of the prompt is not in its cache, and the way of the KV cache if the prompt is
 * read elsewhere. Each group of prompts with the same shared parts has a home in each stage by
 * rendezvous hash, the same at every daemon, which is taken to hold the shared parts. Engines that
 * generate read only what fits into the pauses of the streams that run there. The engine that
 * generates is the best of a few that are drawn, since all daemons know of the same idle one.
 */
class engine_placement {
 public:
  engine_placement(fleet_table& fleet, const engine_speeds& speeds, random_source& random,
                   std::string own_data_centre);

  tl::expected<placement, no_place> Choose(const placement_query& query, time_point now) const;

 private:
  /** All times in milliseconds. */
  struct candidate {
    const fleet_upstream* row = nullptr;
    /** Tokens of the prompt that are not in its cache. */
    std::uint64_t unread = 0;
    /** Until what waits there is read. */
    double wait_ms = 0;
    /** To read the prompt. */
    double read_ms = 0;
    /** What running there takes besides reading. */
    double run_ms = 0;
    /** What other requests lose by the reading; no time that passes. */
    double price_ms = 0;
    /** What the caller risks at an engine that failed just now. */
    double risk_ms = 0;

    /** What it costs to generate there a prompt that was read elsewhere. */
    double RunnerMs() const { return run_ms + wait_ms + risk_ms; }
    /** What it costs to read the prompt there. */
    double ReaderMs() const { return wait_ms + read_ms + price_ms + risk_ms; }
  };

  std::vector<candidate> Candidates(const placement_query& query, time_point now) const;
  /** Fills in what reading the prompt there takes and costs. */
  void WeighReading(const placement_query& query, bool is_home, double read_again, time_point now,
                    candidate& each) const;
  /** The engines of a stage to which prompts with one shared key belong, the first one first. */
  struct homes {
    const fleet_upstream* first = nullptr;
    const fleet_upstream* second = nullptr;
  };
  static homes HomesOf(std::uint64_t key, engine_stage stage, const std::vector<candidate>& among);
  /**
   * The best of a few engines that generate, drawn from those near the reader and from all; null
   * when there is none.
   */
  const candidate* DrawRunner(const std::vector<candidate>& among, const fleet_upstream* reader,
                              const placement_query& query) const;
  double RunCost(const fleet_upstream& row, const placement_query& query) const;
  /** How long the link needs for so many tokens of KV cache, in milliseconds. */
  static double TransferMs(std::uint64_t tokens, const gateway_service& service);
  double TransferCost(const fleet_upstream& from, const fleet_upstream& to,
                      const placement_query& query) const;

  fleet_table& fleet_;
  const engine_speeds& speeds_;
  random_source& random_;
  std::string own_data_centre_;
};

}  // namespace hawthorndrum
