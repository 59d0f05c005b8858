/// Runs a publisher against a fake store.
#pragma once

#include <string>
#include <vector>

#include "fake_object_store.h"
#include "fake_random_source.h"
#include "systems/publisher.h"

namespace hawthorndrum {

inline service_config MakeService(const std::string& name, int priority = 5) {
  service_config config;
  config.name = name;
  config.team = name;
  config.model = {"oak-7b", "1", ""};
  config.priority = priority;
  return config;
}

inline publish_request MakeRequest(std::uint64_t id, const std::string& author,
                                   const std::vector<service_config>& services) {
  publish_request request;
  request.publish_id = id;
  request.author = author;
  request.time = 1'800'000'000;
  for (const service_config& service : services) request.changes.push_back({service.name, service});
  return request;
}

/** Runs one publisher as one client of the store, with its own clock. */
class publish_driver {
 public:
  publish_driver(fake_object_store& store, int client, publish_request request)
      : store_(store),
        client_number_(client),
        client_(store, client),
        random_(static_cast<std::uint64_t>(client) + 1),
        run_(client_, random_, std::move(request)) {}

  /** Advances the clock and runs the publisher. */
  void Tick(duration time = milliseconds(50)) {
    now_ += time;
    run_.Run(now_);
  }

  /** The index of this publisher's oldest waiting call, or -1. */
  int WaitingCall() const {
    for (std::size_t i = 0; i < store_.waiting().size(); ++i) {
      if (store_.waiting()[i].client == client_number_) return static_cast<int>(i);
    }
    return -1;
  }

  /** Runs to the end without faults. */
  const publish_result& Finish() {
    while (!run_.ended()) {
      Tick();
      for (int call = WaitingCall(); call >= 0; call = WaitingCall()) {
        store_.RunAt(static_cast<std::size_t>(call));
      }
    }
    return run_.result();
  }

  publisher& run() { return run_; }
  const publish_result& result() const { return run_.result(); }

 private:
  fake_object_store& store_;
  int client_number_;
  fake_store_client client_;
  fake_random_source random_;
  publisher run_;
  time_point now_{seconds(1000)};
};

/** Publishes without faults and returns the result. */
inline publish_result PublishNow(fake_object_store& store, publish_request request) {
  constexpr int kClient = 9999;
  publish_driver driver(store, kClient, std::move(request));
  return driver.Finish();
}

}  // namespace hawthorndrum
