/// Asks plain services over HTTP whether the request with a key was run.
#pragma once

#include <deque>

#include "ports/lookup_port.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

class config_view;
class random_source;
class buffered_calls;

/**
 * Sends each question to a random worker of the service's pool. DeliverAnswers delivers the answers
 * once per tick, so that no listener is called from within Ask.
 */
class http_lookup_port : public lookup_port {
 public:
  http_lookup_port(buffered_calls& calls, const config_view& config,
                   const upstream_table& upstreams, random_source& random)
      : calls_(calls), config_(config), upstreams_(upstreams), random_(random) {}

  void Ask(lookup_question question, lookup_listener& listener) override;
  /** Delivers the answers received since the last call to their listeners. */
  void DeliverAnswers();

 private:
  struct pending_delivery {
    lookup_answer answer;
    lookup_listener* listener = nullptr;
  };

  const upstream* ChooseWorker(const lookup_question& question) const;

  buffered_calls& calls_;
  const config_view& config_;
  const upstream_table& upstreams_;
  random_source& random_;
  std::deque<pending_delivery> pending_;
};

}  // namespace hawthorndrum
