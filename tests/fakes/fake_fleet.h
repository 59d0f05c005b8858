/// A few daemons' request paths before a few fake engines, in fake time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "event_queue.h"
#include "fake_engine.h"
#include "fake_peers.h"
#include "request_path.h"

namespace hawthorndrum {

/** Every hop takes kHop; each engine's report reaches all daemons `report_lag` after it was made.
 */
class fake_fleet {
 public:
  static constexpr duration kHop = milliseconds(1);
  static constexpr duration kReportPeriod = milliseconds(100);
  static constexpr duration kTick = milliseconds(20);

  fake_fleet(int daemons, int engine_count, duration lag, std::uint64_t seed = 1)
      : peers(events), report_lag(lag) {
    for (int i = 0; i < engine_count; ++i) {
      engines.push_back(std::make_unique<fake_engine>(events, "e:" + std::to_string(i)));
    }
    for (int i = 0; i < daemons; ++i) AddDaemon(seed + static_cast<std::uint64_t>(i));
    for (auto& engine : engines) Report(*engine);
    Ticks();
  }

  request_id Post(std::size_t daemon, const std::string& service, const std::string& body,
                  std::vector<http_header> headers = {}) {
    request_path& path = Awake(daemon);
    return path.Post("/services/" + service + "/v1/chat/completions", body, std::move(headers));
  }

  /** A completion whose answer has `out` tokens and whose prompt is padded to `prompt_tokens`. */
  static std::string Body(const std::string& text, std::uint64_t prompt_tokens = 10,
                          std::uint64_t out = 4, bool stream = true) {
    const std::string padding(prompt_tokens * kBytesPerToken, 'x');
    return std::string("{\"stream\":") + (stream ? "true" : "false") +
           ",\"messages\":[{\"role\":\"user\",\"content\":\"" + text +
           " out=" + std::to_string(out) + " " + padding + "\"}]}";
  }

  /** Puts a service into force at every daemon. */
  void Publish(const service_config& service) {
    for (auto& daemon : daemons) daemon->config.Put(service);
  }

  void RunFor(duration time) { events.RunUntil(events.now() + time); }

  int Crashes() const {
    int sum = 0;
    for (const auto& engine : engines) sum += engine->crashes;
    return sum;
  }

  event_queue events;
  fake_peers peers;
  duration report_lag;
  std::vector<std::unique_ptr<fake_engine>> engines;
  std::vector<std::unique_ptr<request_path>> daemons;

 private:
  request_path& Awake(std::size_t daemon) {
    request_path& path = *daemons[daemon];
    path.time.Advance(events.now() - path.time.Now());
    return path;
  }

  void AddDaemon(std::uint64_t seed) {
    const std::size_t place = daemons.size();
    daemons.push_back(std::make_unique<request_path>(seed, &peers.Add()));
    request_path& path = *daemons.back();
    for (const auto& engine : engines) path.AddEngine(engine->address());
    path.port.on_send = [this, place](sent_attempt sent) { Carry(place, std::move(sent)); };
    path.port.on_cancel = [this](attempt_id attempt) {
      events.After(kHop, [this, attempt] {
        for (auto& engine : engines) engine->Cancel(attempt);
      });
    };
    peers.Listen(place, [this, place](peer_id from, const peer_message& message) {
      request_path& awake = Awake(place);
      awake.system->OnPeerMessage(from, message);
      awake.Tick();
    });
  }

  void Carry(std::size_t place, sent_attempt sent) {
    events.After(kHop, [this, place, sent = std::move(sent)] {
      for (auto& engine : engines) {
        if (engine->address() == sent.address) engine->Take(sent, Listener(place));
      }
    });
  }

  template <typename Event>
  std::function<void(Event)> Back(std::size_t place, void (request_system::*method)(const Event&)) {
    return [this, place, method](Event event) {
      events.After(kHop, [this, place, method, event] {
        request_path& path = Awake(place);
        ((*path.system).*method)(event);
        path.Tick();
      });
    };
  }

  engine_listener Listener(std::size_t place) {
    return {Back<attempt_head>(place, &request_system::OnAttemptHead),
            Back<attempt_bytes>(place, &request_system::OnAttemptBytes),
            Back<attempt_finished>(place, &request_system::OnAttemptFinished),
            Back<attempt_lost>(place, &request_system::OnAttemptLost)};
  }

  void Report(fake_engine& engine) {
    if (!engine.is_down) {
      const time_point made = events.now();
      events.After(report_lag, [this, &engine, made, report = engine.Report()] {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
          upstream& row = Awake(i).At(engine.address());
          row.report = report;
          row.report_time = made;
        }
      });
    }
    events.After(kReportPeriod, [this, &engine] { Report(engine); });
  }

  void Ticks() {
    for (std::size_t i = 0; i < daemons.size(); ++i) Awake(i).Tick();
    events.After(kTick, [this] { Ticks(); });
  }
};

}  // namespace hawthorndrum
