/// Request paths of several daemons in front of fake engines, in fake time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "event_queue.h"
#include "fake_engine.h"
#include "fake_peers.h"
#include "request_path.h"

namespace hawthorndrum {

/** Each hop takes kHop. Engines' reports reach all daemons `report_lag` after they are made. */
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
    RunTicks();
  }

  request_id Post(std::size_t daemon, const std::string& service, const std::string& body,
                  std::vector<http_header> headers = {}) {
    request_path& path = PathAtNow(daemon);
    return path.Post("/services/" + service + "/v1/chat/completions", body, std::move(headers));
  }

  /** Returns a completion request for `out` tokens with a prompt padded to `prompt_tokens`. */
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
  request_path& PathAtNow(std::size_t daemon) {
    request_path& path = *daemons[daemon];
    path.time.Advance(events.now() - path.time.Now());
    return path;
  }

  void AddDaemon(std::uint64_t seed) {
    const std::size_t index = daemons.size();
    daemons.push_back(std::make_unique<request_path>(seed, &peers.Add()));
    request_path& path = *daemons.back();
    for (const auto& engine : engines) path.AddEngine(engine->address());
    path.port.on_send = [this, index](sent_attempt sent) { SendToEngine(index, std::move(sent)); };
    path.port.on_cancel = [this](attempt_id attempt) {
      events.After(kHop, [this, attempt] {
        for (auto& engine : engines) engine->Cancel(attempt);
      });
    };
    peers.Listen(index, [this, index](peer_id from, const peer_message& message) {
      request_path& receiver = PathAtNow(index);
      receiver.system->OnPeerMessage(from, message);
      receiver.Tick();
    });
  }

  void SendToEngine(std::size_t index, sent_attempt sent) {
    events.After(kHop, [this, index, sent = std::move(sent)] {
      for (auto& engine : engines) {
        if (engine->address() == sent.address) engine->Take(sent, Listener(index));
      }
    });
  }

  template <typename Event>
  std::function<void(Event)> ForwardTo(std::size_t index,
                                       void (request_system::*method)(const Event&)) {
    return [this, index, method](Event event) {
      events.After(kHop, [this, index, method, event] {
        request_path& path = PathAtNow(index);
        ((*path.system).*method)(event);
        path.Tick();
      });
    };
  }

  engine_listener Listener(std::size_t index) {
    return {ForwardTo<attempt_head>(index, &request_system::OnAttemptHead),
            ForwardTo<attempt_bytes>(index, &request_system::OnAttemptBytes),
            ForwardTo<attempt_finished>(index, &request_system::OnAttemptFinished),
            ForwardTo<attempt_lost>(index, &request_system::OnAttemptLost)};
  }

  void Report(fake_engine& engine) {
    if (!engine.is_down) {
      const time_point made = events.now();
      events.After(report_lag, [this, &engine, made, report = engine.Report()] {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
          upstream& row = PathAtNow(i).At(engine.address());
          row.report = report;
          row.report_time = made;
        }
      });
    }
    events.After(kReportPeriod, [this, &engine] { Report(engine); });
  }

  void RunTicks() {
    for (std::size_t i = 0; i < daemons.size(); ++i) PathAtNow(i).Tick();
    events.After(kTick, [this] { RunTicks(); });
  }
};

}  // namespace hawthorndrum
