/// A fake engine that takes orders and requests, and records each order's effect and cut requests.
#pragma once

#include <string>
#include <vector>

#include "base/hash.h"
#include "base/units.h"
#include "ports/load_report.h"

namespace hawthorndrum {

/**
 * Executes one order at a time. It remembers the highest fencing number over restarts, but not
 * its last order; an order with the id of the last one is a no-op.
 */
class fake_order_engine {
 public:
  struct effect {
    engine_order order;
    int sender = 0;
  };

  fake_order_engine(std::string address, bool checks_fencing)
      : address(std::move(address)), checks_fencing(checks_fencing) {}

  order_answer Receive(const engine_order& order, int sender) {
    order_answer answer;
    answer.id = order.id;
    if (checks_fencing && order.term < highest_) {
      answer.outcome = order_outcome::kStaleTerm;
      answer.seen_term = highest_;
      return answer;
    }
    if (order.id == last_order_) {
      highest_ = std::max(highest_, order.term);
      answer.outcome = order_outcome::kAccepted;
      return answer;
    }
    if (busy_) {
      answer.outcome = order_outcome::kBusy;
      return answer;
    }
    highest_ = std::max(highest_, order.term);
    effects.push_back({order, sender});
    // An adapter is loaded while requests run; any other order takes the engine out of service.
    if (order.kind != order_kind::kLoadAdapter) {
      cut_requests += running;
      running = 0;
    }
    last_order_ = order.id;
    progress_ = order_progress::kRunning;
    state_ = order.kind == order_kind::kLoadAdapter ? state_ : engine_state::kChanging;
    busy_ = true;
    current_ = order;
    left_ = change_time;
    answer.outcome = order_outcome::kAccepted;
    return answer;
  }

  void Advance(duration step) {
    if (!busy_) return;
    left_ -= step;
    if (left_ > duration(0)) return;
    state_ = engine_state::kReady;
    busy_ = false;
    progress_ = fail_orders ? order_progress::kFailed : order_progress::kDone;
    if (fail_orders) return;
    if (current_.kind == order_kind::kSetRole) role = current_.role;
    if (current_.kind == order_kind::kLoadModel) {
      models.push_back({current_.model, current_.version, {}});
    }
  }

  void Crash() {
    ++incarnation;
    running = 0;
    last_order_ = order_id();
    progress_ = order_progress::kNone;
    state_ = engine_state::kReady;
    busy_ = false;
  }

  bool Begin() {
    if (state_ != engine_state::kReady) return false;
    ++running;
    return true;
  }

  load_report Report() const {
    load_report report;
    report.upstream = id();
    report.engine_incarnation = incarnation;
    report.role = role;
    report.state = state_;
    report.models = models;
    report.running = running;
    report.queued = queued;
    report.prefill_tokens_per_second = role == engine_role::kPrefill ? reported_rate : 0;
    report.decode_tokens_per_second = role == engine_role::kDecode ? reported_rate : 0;
    report.term = highest_;
    report.last_order = last_order_;
    report.last_order_progress = progress_;
    return report;
  }

  upstream_id id() const { return UpstreamIdOf(address); }

  std::string address;
  bool checks_fencing = true;
  bool fail_orders = false;
  duration change_time = seconds(3);
  std::uint64_t incarnation = 1;
  std::uint32_t running = 0;
  std::uint32_t cut_requests = 0;
  std::uint32_t queued = 0;
  /** The rate for its role that its reports show, in tokens a second. */
  double reported_rate = 0;
  engine_role role = engine_role::kPrefill;
  std::vector<loaded_model> models = {{"m", "1", {}}};
  std::vector<effect> effects;

 private:
  lease_term highest_;
  order_id last_order_;
  order_progress progress_ = order_progress::kNone;
  engine_state state_ = engine_state::kReady;
  engine_order current_;
  /** Whether an order is being executed. */
  bool busy_ = false;
  duration left_{0};
};

}  // namespace hawthorndrum
