/// Implementation of the authority bench.
#pragma once

#include <algorithm>

#include "authority_bench.h"
#include "systems/order_journal.h"

namespace hawthorndrum {

inline bench_daemon::bench_daemon(authority_bench& bench, int number, std::uint64_t incarnation)
    : bench(bench), number(number), incarnation(incarnation), random(incarnation * 7919) {
  for (const fake_order_engine& engine : bench.engines_) {
    upstream row;
    row.id = engine.id();
    row.address = engine.address;
    row.data_centre = "dc";
    row.checks_fencing = engine.checks_fencing;
    upstreams.Insert(row);
  }
  core = authority_builder(*this, *this, *this, upstreams, time, random, metrics, demand)
             .DataCentre("dc")
             .Incarnation(this->incarnation)
             .Build();
}

inline store_call_id bench_daemon::Submit(store_call call, store_listener& listener) {
  const store_call_id id(++bench.last_call_);
  authority_bench::store_flight flight;
  flight.daemon = number;
  flight.incarnation = incarnation.value();
  flight.id = id;
  flight.call = std::move(call);
  flight.listener = &listener;
  bench.store_flights_.push_back(std::move(flight));
  return id;
}

inline void bench_daemon::Order(std::string_view address, const engine_order& order,
                                order_listener& listener) {
  authority_bench::order_flight flight;
  flight.daemon = number;
  flight.incarnation = incarnation.value();
  flight.address = std::string(address);
  flight.order = order;
  flight.listener = &listener;
  bench.order_flights_.push_back(std::move(flight));
}

inline void bench_daemon::Send(peer_id to, peer_message message) {
  if (bench.no_peers_.count(number) != 0) return;
  if (bench.lose_messages > 0) {
    --bench.lose_messages;
    return;
  }
  if (bench.repeat_messages > 0) {
    --bench.repeat_messages;
    bench.message_flights_.push_back({self(), to, message, 9});
  }
  bench.message_flights_.push_back({self(), to, std::move(message)});
}

inline authority_bench::authority_bench(int daemons, const std::vector<bool>& engines_check) {
  for (std::size_t i = 0; i < engines_check.size(); ++i) {
    engines_.emplace_back("10.1.0." + std::to_string(i) + ":80", engines_check[i]);
    if (i % 2 == 1) engines_.back().role = engine_role::kDecode;
  }
  for (int i = 0; i < daemons; ++i) {
    daemons_.push_back(std::make_unique<bench_daemon>(*this, i, ++last_incarnation_));
  }
  UpdatePeers();
}

inline void authority_bench::Step() {
  ++steps_;
  for (auto& daemon : daemons_) {
    daemon->time.Advance(
        duration(static_cast<duration::rep>(static_cast<double>(kStep.count()) * daemon->rate)));
  }
  for (fake_order_engine& engine : engines_) engine.Advance(kStep);
  AdvanceLateArrivals();
  AdvanceStoreCalls();
  AdvanceOrders();
  AdvanceMessages();
  DeliverReports();
  UpdatePeers();
  if (steps_ % 20 == 1) DeliverHostLists();
  for (auto& daemon : daemons_) {
    if (!daemon->paused) daemon->core.Run(daemon->time.Now());
  }
}

inline void authority_bench::AdvanceStoreCalls() {
  const std::size_t count = store_flights_.size();
  for (std::size_t i = 0; i < count; ++i) {
    store_flight flight = std::move(store_flights_.front());
    store_flights_.pop_front();
    const bool alive = IsAlive(flight.daemon, flight.incarnation);
    if (!flight.applied) {
      flight.applied = true;
      const bool write = flight.call.operation != store_operation::kGet;
      if (store_down || no_store_.count(flight.daemon) != 0) {
        flight.answer.outcome = store_outcome::kRefused;
      } else if (write && delay_store_writes > 0) {
        --delay_store_writes;
        late_writes_.push_back({flight.call, 24});
      } else {
        flight.answer = store.Apply(flight.call);
        if (lose_store_answers > 0) {
          --lose_store_answers;
          flight.answer = store_answer{};
        }
      }
      store_flights_.push_back(std::move(flight));
      continue;
    }
    if (!alive) continue;
    if (daemon(flight.daemon).paused) {
      store_flights_.push_back(std::move(flight));
      continue;
    }
    flight.listener->OnStoreAnswer(flight.id, flight.answer);
  }
}

inline void authority_bench::AdvanceOrders() {
  const std::size_t count = order_flights_.size();
  for (std::size_t i = 0; i < count; ++i) {
    order_flight flight = std::move(order_flights_.front());
    order_flights_.pop_front();
    if (!IsAlive(flight.daemon, flight.incarnation)) continue;
    bench_daemon& sender = daemon(flight.daemon);
    if (sender.paused) {
      order_flights_.push_back(std::move(flight));
      continue;
    }
    if (flight.phase == order_phase::kAnswered) {
      flight.listener->OnOrderAnswer(flight.answer);
      continue;
    }
    flight.answer.id = flight.order.id;
    if (flight.phase == order_phase::kBeforeClockCheck) {
      const bool in_time = sender.time.Now() < flight.order.send_by;
      flight.answer.outcome = order_outcome::kNotSent;
      flight.phase = in_time ? order_phase::kAfterClockCheck : order_phase::kAnswered;
      flight.run = EngineAt(flight.address)->incarnation;
      order_flights_.push_back(std::move(flight));
      continue;
    }
    // The I/O layer has checked the clock: the bytes are sent, however long it was paused since.
    flight.phase = order_phase::kAnswered;
    if (no_engines_.count(flight.daemon) != 0) {
      flight.answer.outcome = order_outcome::kNotSent;
    } else if (EngineAt(flight.address)->incarnation != flight.run) {
      // The connection led to a run of the engine that has ended.
      flight.answer.outcome = order_outcome::kUnknown;
    } else if (delay_orders > 0) {
      --delay_orders;
      late_orders_.push_back({flight.order, flight.address, flight.daemon, 40, flight.run});
      flight.answer.outcome = order_outcome::kUnknown;
    } else {
      flight.answer = Deliver(flight.order, flight.address, flight.daemon);
      if (lose_order_answers > 0) {
        --lose_order_answers;
        flight.answer.outcome = order_outcome::kUnknown;
      }
    }
    order_flights_.push_back(std::move(flight));
  }
}

inline void authority_bench::AdvanceMessages() {
  const std::size_t count = message_flights_.size();
  for (std::size_t i = 0; i < count; ++i) {
    message_flight flight = std::move(message_flights_.front());
    message_flights_.pop_front();
    if (--flight.steps > 0) {
      message_flights_.push_back(std::move(flight));
      continue;
    }
    for (auto& daemon : daemons_) {
      if (daemon->self() != flight.to || no_peers_.count(daemon->number) != 0) continue;
      if (daemon->paused) {
        message_flights_.push_back(flight);
      } else {
        daemon->core.OnPeerMessage(flight.from, flight.message);
      }
    }
  }
}

inline void authority_bench::AdvanceLateArrivals() {
  for (std::size_t i = late_orders_.size(); i-- > 0;) {
    if (--late_orders_[i].steps > 0) continue;
    const late_order late = late_orders_[i];
    late_orders_.erase(late_orders_.begin() + static_cast<std::ptrdiff_t>(i));
    const fake_order_engine* engine = EngineAt(late.address);
    if (engine->incarnation == late.run) Deliver(late.order, late.address, late.sender);
  }
  for (std::size_t i = late_writes_.size(); i-- > 0;) {
    if (--late_writes_[i].steps > 0) continue;
    store.Apply(late_writes_[i].call);
    late_writes_.erase(late_writes_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

inline fake_order_engine* authority_bench::EngineAt(const std::string& address) {
  for (fake_order_engine& engine : engines_) {
    if (engine.address == address) return &engine;
  }
  return nullptr;
}

inline bool authority_bench::IsOpenInJournal(const fake_order_engine& engine,
                                             const engine_order& order) {
  const auto found = store.objects().find("journals/dc");
  if (found == store.objects().end()) return false;
  const expected<order_journal> journal = DecodeJournal(found->second.value);
  if (!journal) return false;
  const auto row = journal->rows.find(engine.id());
  return row != journal->rows.end() && row->second.open && row->second.order.id == order.id;
}

inline order_answer authority_bench::Deliver(const engine_order& order, const std::string& address,
                                             int sender) {
  fake_order_engine& engine = *EngineAt(address);
  const std::size_t before = engine.effects.size();
  const std::uint32_t cut_before = engine.cut_requests;
  const bool open = IsOpenInJournal(engine, order);
  const order_answer answer = engine.Receive(order, sender);
  if (engine.effects.size() == before) return answer;
  if (!open) violations_ += "an order took effect that the journal does not hold open; ";
  if (engine.cut_requests != cut_before) violations_ += "an order cut a request; ";
  for (std::size_t i = 0; i + 1 < before; ++i) {
    const bool repeated =
        engine.effects[i].order.id == order.id && engine.effects[before - 1].order.id != order.id;
    if (repeated) violations_ += "an order took effect again after another one; ";
  }
  return answer;
}

inline void authority_bench::DeliverReports() {
  std::vector<load_report> now;
  for (const fake_order_engine& engine : engines_) now.push_back(engine.Report());
  past_reports_.push_back(now);
  while (past_reports_.size() > report_lag + 1) past_reports_.pop_front();
  for (auto& daemon : daemons_) {
    if (daemon->paused || no_engines_.count(daemon->number) != 0) continue;
    for (const load_report& report : past_reports_.front()) {
      upstream* row = daemon->upstreams.Find(report.upstream);
      row->report = report;
      row->has_report = true;
      row->report_time = daemon->time.Now();
    }
  }
}

inline void authority_bench::UpdatePeers() {
  for (auto& daemon : daemons_) {
    if (daemon->paused) continue;
    daemon->peers.clear();
    for (const auto& other : daemons_) {
      const bool cut = no_peers_.count(daemon->number) != 0 || no_peers_.count(other->number) != 0;
      if (other == daemon || cut || withdrawn_.count(other->number) != 0) continue;
      daemon->peers.push_back({other->self(), other->incarnation, true, true});
    }
  }
}

inline void authority_bench::DeliverHostLists() {
  std::vector<host_entry> hosts;
  for (const auto& daemon : daemons_) {
    if (withdrawn_.count(daemon->number) != 0) continue;
    host_entry entry;
    entry.address = bench_daemon::Address(daemon->number);
    entry.kind = host_kind::kDaemon;
    entry.data_centre = "dc";
    hosts.push_back(entry);
  }
  for (auto& daemon : daemons_) {
    if (!daemon->paused) daemon->core.orders->OnHostList(hosts, daemon->time.Now());
  }
}

inline bool authority_bench::HasStoreCall(const std::string& key, bool write) const {
  for (const store_flight& flight : store_flights_) {
    const bool writes = flight.call.operation != store_operation::kGet;
    if (flight.call.key == key && writes == write && !flight.applied) return true;
  }
  return false;
}

inline int authority_bench::Holder(int* holders) {
  int found = -1;
  int count = 0;
  for (auto& daemon : daemons_) {
    if (!daemon->core.lease->Holds()) continue;
    found = daemon->number;
    ++count;
  }
  if (holders != nullptr) *holders = count;
  return found;
}

inline expected<order_id> authority_bench::Propose(const order_request& request) {
  const int holder = Holder();
  if (holder < 0 || daemon(holder).paused) {
    return tl::unexpected(error{error_code::kUnavailable, "no holder"});
  }
  return daemon(holder).core.orders->Propose(request);
}

inline expected<order_id> authority_bench::Propose(int engine, engine_role role) {
  order_request request;
  request.engine = this->engine(engine).id();
  request.role = role;
  return Propose(request);
}

inline void authority_bench::Kill(int number) {
  bench_daemon& old = daemon(number);
  for (const auto& [engine, count] : old.requests) {
    this->engine(engine).running -= std::min(this->engine(engine).running, count);
  }
  auto next = std::make_unique<bench_daemon>(*this, number, ++last_incarnation_);
  next->rate = old.rate;
  dead_.push_back(std::move(daemons_[static_cast<std::size_t>(number)]));
  daemons_[static_cast<std::size_t>(number)] = std::move(next);
  UpdatePeers();
}

inline void authority_bench::Heal() {
  no_store_.clear();
  no_engines_.clear();
  no_peers_.clear();
  withdrawn_.clear();
  lose_store_answers = delay_store_writes = lose_order_answers = 0;
  delay_orders = repeat_messages = lose_messages = 0;
  store_down = false;
  report_lag = 0;
  for (auto& daemon : daemons_) daemon->paused = false;
}

inline void authority_bench::BeginRequest(int number, int engine) {
  bench_daemon& daemon = this->daemon(number);
  if (daemon.paused || no_engines_.count(number) != 0) return;
  upstream* row = daemon.upstreams.Find(this->engine(engine).id());
  if (!row->has_report || !row->TakesWork() || !this->engine(engine).Begin()) return;
  row->own_in_flight += 1;
  daemon.requests[engine] += 1;
}

inline void authority_bench::EndRequests() {
  for (auto& daemon : daemons_) {
    if (daemon->paused) continue;
    for (auto& [engine, count] : daemon->requests) {
      fake_order_engine& at = this->engine(engine);
      at.running -= std::min(at.running, count);
      count = 0;
      daemon->upstreams.Find(at.id())->own_in_flight = 0;
    }
  }
}

inline std::string authority_bench::Violations() {
  int holders = 0;
  Holder(&holders);
  std::string violations = violations_;
  if (holders > 1) violations += "two daemons hold the lease; ";
  return violations;
}

}  // namespace hawthorndrum
