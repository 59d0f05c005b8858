/// Fake engines that answer load polls in memory.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "base/hash.h"
#include "ports/engine_port.h"
#include "ports/load_report.h"

namespace hawthorndrum {

/**
 * The engines of a data centre, shared by several daemons; counts the polls of each.
 */
struct fake_engines {
  std::map<upstream_id, load_report> reports;
  std::map<upstream_id, std::uint64_t> polls;
  std::set<upstream_id> down;

  void Add(const std::string& address) {
    load_report report;
    report.upstream = UpstreamIdOf(address);
    report.engine_incarnation = 1;
    report.models.push_back({"model-a", "2026-10", {"adapter-1"}});
    report.prefill_tokens_per_second = 8000;
    report.decode_tokens_per_second = 900;
    report.kv_total_bytes = 80ull << 30;
    reports[report.upstream] = report;
  }
};

/**
 * One daemon's engine port. Polls stay pending until the test answers them.
 */
class fake_engine_port : public engine_port {
 public:
  explicit fake_engine_port(fake_engines& engines) : engines_(engines) {}

  void Order(std::string_view, const engine_order&, order_listener&) override {}
  void PollLoad(upstream_id upstream, std::string_view) override {
    ++engines_.polls[upstream];
    waiting_.push_back(upstream);
  }

  /** Answers every pending poll. */
  template <typename Digest>
  void AnswerAll(Digest& digest) {
    std::deque<upstream_id> asked;
    asked.swap(waiting_);
    for (const upstream_id id : asked) {
      const auto found = engines_.reports.find(id);
      if (found == engines_.reports.end() || engines_.down.count(id) != 0) {
        digest.OnLoadFailed(id);
      } else {
        digest.OnLoadReport(found->second);
      }
    }
  }

 private:
  fake_engines& engines_;
  std::deque<upstream_id> waiting_;
};

}  // namespace hawthorndrum
