/// A model of an engine that batches requests: prefill in chunks, decode in steps, a prompt cache.
///
/// For tests of decisions under load, without a network or a clock of its own.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "gateway/prompt.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

/** Times in milliseconds, sizes in tokens. */
struct engine_model_settings {
  double step_ms = 3.4;
  double step_ms_per_request = 0.1;
  /** Prefill speed of the prefill stage; decode engines have half of it. */
  double tokens_per_ms = 112;
  /** Tokens that one step prefills at most; a quarter of it at decode engines. */
  std::uint64_t chunk = 4096;
  std::uint32_t slots = 48;
  std::uint64_t memory_tokens = 590'000;
  /** Latency of a prefill in addition to its work. */
  double overhead_ms = 31;
  /** Tokens in one event of a stream. */
  std::uint64_t event_tokens = 10;
  /** Time out of service for a change of stage, after the work there has ended. */
  double change_ms = 3000;
};

/** What happened to a request at an engine. */
struct engine_model_event {
  enum class kind { kPrefilled, kTokens, kEnded };
  kind what = kind::kTokens;
  std::uint64_t request = 0;
  double at_ms = 0;
};

/**
 * Requests are served in the order of arrival. The cache keeps the parts of prompts that were
 * prefilled or fetched, the least recently used yield.
 *
 * Invariants: a request that runs has all of its prompt prefilled before its first token; at most
 * `slots` requests run; an engine that changes its stage starts nothing.
 */
class engine_model {
 public:
  engine_model(const engine_model_settings& settings, engine_stage stage)
      : settings_(settings), stage_(stage) {}

  /** Prefills the prompt for another engine. */
  void Prefill(std::uint64_t request, const prompt& asked, double now_ms);
  /** Runs the request, with its prompt prefilled elsewhere or not. */
  void Run(std::uint64_t request, const prompt& asked, bool is_prefilled, double now_ms);
  /** Changes the stage once all work there has ended. */
  void ChangeStage(engine_stage stage);
  /** Works until `now_ms` and appends what happened. */
  void Advance(double now_ms, std::vector<engine_model_event>& events);

  engine_stage stage() const { return stage_; }
  bool is_changing() const { return target_ != stage_ || now_ms_ < away_until_ms_; }

 private:
  struct job {
    std::uint64_t request = 0;
    prompt asked;
    std::uint64_t unread = 0;
    std::uint64_t left = 0;
    std::uint64_t generated = 0;
    double starts_ms = 0;
    bool runs = false;
  };

  void Add(job added, double now_ms);
  std::uint64_t Unread(const prompt& asked);
  void Remember(const prompt& asked);
  /** Prefills up to `tokens` of the waiting prompts; returns how many. */
  std::uint64_t ReadChunk(std::uint64_t tokens, double end_ms,
                          std::vector<engine_model_event>& events);
  double Step(double start_ms, std::vector<engine_model_event>& events);
  void Generate(double end_ms, std::vector<engine_model_event>& events);

  engine_model_settings settings_;
  engine_stage stage_;
  engine_stage target_ = stage_;
  double now_ms_ = 0;
  double away_until_ms_ = 0;
  /** Prompts to prefill, in order; those that run here move on to running_. */
  std::deque<job> reading_;
  std::list<job> running_;
  /** The parts held, the most recently used first. */
  std::list<prompt_part> used_;
  std::unordered_map<std::uint64_t, std::list<prompt_part>::iterator> held_;
  std::uint64_t held_tokens_ = 0;
};

}  // namespace hawthorndrum
