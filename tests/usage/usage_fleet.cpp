/// The simulated network, store and platform of the daemons.
#include "usage_fleet.h"

#include <cmath>

namespace hawthorndrum {

namespace {

lease_timing Timing() {
  lease_timing timing;
  timing.length = seconds(3);
  timing.margin = milliseconds(500);
  timing.take_missing_at_once = true;
  return timing;
}

}  // namespace

usage_daemon::usage_daemon(usage_fleet& owner, int index, std::uint64_t wall_ms)
    : fleet(owner),
      number(index),
      random(static_cast<std::uint64_t>(index) * 1000 + wall_ms),
      directory("h" + std::to_string(index)),
      peers(directory, PeerIdOf(Address(index))),
      lease(*this, peers, *this, random, metrics, "usage", incarnation_id(random.Draw()), Timing()),
      authority(lease),
      exchange(directory, *this, incarnation_id(random.Draw()),
               milliseconds(usage_fleet::kWindowMs)),
      reporter({exchange, lease, authority, *this, *this, *this, random, log, metrics},
               seconds(10)) {
  exchange.Begin(wall_ms, Now());
}

time_point usage_daemon::Now() const { return fleet.now + seconds(number * 100); }

void usage_daemon::SendUsage(const std::string& address, const std::vector<std::uint8_t>& sent) {
  fleet.bytes += sent.size();
  fleet.bytes_to[address] += sent.size();
  if (fleet.lose_each > 0 && ++fleet.sent_ % static_cast<std::uint64_t>(fleet.lose_each) == 0)
    return;
  fleet.datagrams_.push_back({address, Address(number), sent});
}

void usage_daemon::ReportUsage(duty_call_id call, const usage_report& report,
                               const duty_terms& terms, duty_listener& listener) {
  fleet.calls_.push_back({number, call, report, terms, &listener});
}

store_call_id usage_daemon::Submit(store_call call, store_listener& listener) {
  return fleet.store.Enqueue(number, std::move(call), listener);
}

void usage_daemon::Run() {
  lease.Run(Now());
  authority.Run(Now());
  reporter.Run(Now());
  exchange.Run(Now());
}

usage_fleet::usage_fleet(int count) {
  daemons.resize(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) Start(i);
}

void usage_fleet::Start(int daemon, std::int64_t clock_error_ms) {
  auto& slot = daemons.at(static_cast<std::size_t>(daemon));
  slot = std::make_unique<usage_daemon>(
      *this, daemon,
      static_cast<std::uint64_t>(static_cast<std::int64_t>(WallMs()) + clock_error_ms));
  std::vector<daemon_record> records;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    records.push_back({"h" + std::to_string(i), usage_daemon::Address(static_cast<int>(i)), "z"});
  }
  slot->directory.Replace(records);
}

void usage_fleet::Kill(int daemon) {
  store.DropClient(daemon, true);
  for (auto it = calls_.begin(); it != calls_.end();) {
    it = it->daemon == daemon ? calls_.erase(it) : it + 1;
  }
  dead_.push_back(std::move(daemons.at(static_cast<std::size_t>(daemon))));
}

void usage_fleet::Begin(int daemon, const std::string& team) {
  truth[OpenWindow()][team] += 1;
  at(daemon).exchange.OnRequestBegan(team, at(daemon).Now());
}

int usage_fleet::Holder() const {
  for (const auto& each : daemons) {
    if (each != nullptr && each->lease.Holds()) return each->number;
  }
  return -1;
}

usage_daemon* usage_fleet::Listening(const std::string& address) {
  for (const auto& each : daemons) {
    if (each != nullptr && !each->paused && usage_daemon::Address(each->number) == address)
      return each.get();
  }
  return nullptr;
}

duty_outcome usage_fleet::Accept(const platform_call& call) {
  const std::uint64_t term = call.terms.term.value();
  if (term < last_term_) Fail("a lower token after a higher one");
  if (term == last_term_ && call.daemon != last_caller_) Fail("two holders with one token");
  if (call.daemon != last_caller_ && last_caller_ >= 0 && now - last_call_at_ < seconds(1))
    Fail("two holders within a second");
  last_term_ = term;
  last_caller_ = call.daemon;
  last_call_at_ = now;
  if (platform_down) return duty_outcome::kNotSent;
  const auto [kept, is_new] = reports.emplace(call.report.window, call.report.counts);
  if (is_new) reported_ms[call.report.window] = WallMs();
  if (!is_new && kept->second != call.report.counts)
    Fail("two contents of window " + std::to_string(call.report.window));
  if (lose_answers > 0) return --lose_answers, duty_outcome::kUnknown;
  return duty_outcome::kAccepted;
}

void usage_fleet::Step() {
  now += kStep;
  std::deque<datagram> arriving;
  arriving.swap(datagrams_);
  for (const datagram& each : arriving) {
    if (usage_daemon* to = Listening(each.to))
      to->exchange.OnMessage({each.bytes.data(), each.bytes.size()}, each.from, to->Now());
  }
  for (std::size_t left = store.waiting().size(), i = 0; left > 0; --left) {
    const usage_daemon& caller = at(store.waiting().at(i).client);
    if (caller.paused) {
      ++i;
    } else if (caller.no_store) {
      store.FailAt(i, store_outcome::kRefused);
    } else {
      store.RunAt(i);
    }
  }
  std::deque<platform_call> calls;
  calls.swap(calls_);
  for (const platform_call& each : calls) {
    usage_daemon& caller = at(each.daemon);
    if (caller.paused) {
      calls_.push_back(each);
      continue;
    }
    const bool sent = caller.Now() < each.terms.send_by && !caller.no_platform;
    each.listener->OnDutyAnswer(each.id, sent ? Accept(each) : duty_outcome::kNotSent);
  }
  for (const auto& each : daemons) {
    if (each != nullptr && !each->paused) each->Run();
  }
}

int usage_fleet::Missing(std::uint64_t from, std::uint64_t late_ms, double off) const {
  int missing = 0;
  for (std::uint64_t window = from; (window + 1) * kWindowMs + late_ms <= WallMs(); ++window) {
    const auto report = reports.find(window);
    const auto counted = truth.find(window);
    bool good =
        report != reports.end() && reported_ms.at(window) <= (window + 1) * kWindowMs + late_ms;
    for (const auto& [team, count] :
         counted == truth.end() ? std::map<std::string, std::uint64_t>() : counted->second) {
      const auto said =
          good ? report->second.find(team) : std::map<std::string, std::uint64_t>::const_iterator{};
      const double value =
          good && said != report->second.end() ? static_cast<double>(said->second) : 0;
      good =
          good && std::abs(value - static_cast<double>(count)) <= off * static_cast<double>(count);
    }
    missing += good ? 0 : 1;
  }
  return missing;
}

}  // namespace hawthorndrum
