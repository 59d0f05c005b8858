/// Asks plain services over HTTP whether a key ran.
#pragma once

#include <deque>

#include "ports/lookup_port.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

class config_view;
class random_source;
class whole_calls;

/**
 * Asks a worker of the service's pool, chosen at random. Answers are given out by GiveOut, once a
 * tick, so that none comes from within Ask.
 */
class http_lookup_port : public lookup_port {
 public:
  http_lookup_port(whole_calls& calls, const config_view& config, const upstream_table& upstreams,
                   random_source& random)
      : calls_(calls), config_(config), upstreams_(upstreams), random_(random) {}

  void Ask(lookup_question question, lookup_listener& listener) override;
  /** Hands the answers that have come since the last time to their listeners. */
  void GiveOut();

 private:
  struct ready_answer {
    lookup_answer answer;
    lookup_listener* listener = nullptr;
  };

  const upstream* ChooseWorker(const lookup_question& question) const;

  whole_calls& calls_;
  const config_view& config_;
  const upstream_table& upstreams_;
  random_source& random_;
  std::deque<ready_answer> ready_;
};

}  // namespace hawthorndrum
