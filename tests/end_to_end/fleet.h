/// A small fleet of real processes on the loopback address: platform stand-ins, upstreams, daemons.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process.h"
#include "web.h"

namespace hawthorndrum {

/** Composition of a fleet. */
struct fleet_options {
  int daemons = 2;
  int engines = 2;
  int workers = 1;
  /** Additional arguments for every engine stand-in and every plain worker. */
  std::vector<std::string> engine_arguments;
  std::vector<std::string> worker_arguments;
  bool engines_check_fencing = true;
  /** Address to which daemons export their spans; empty for none. */
  std::string trace_exporter;
};

/**
 * Starts all processes and publishes the Hearthwell example. Members are named `store`, `hosts`,
 * `engine-0`, `worker-0`, `daemon-0` and so on.
 */
class fleet {
 public:
  explicit fleet(fleet_options options = {});
  ~fleet();

  /** Waits until every daemon answers a completion. */
  bool WaitUntilServing();

  void Start(const std::string& name);
  process& operator[](const std::string& name) { return *processes_.at(name); }
  const std::string& AddressOf(const std::string& name) const { return addresses_.at(name); }
  std::string CallerAddress(int daemon) const { return AddressOf(DaemonName(daemon)); }
  std::string AdminAddress(int daemon) const { return AddressOf(DaemonName(daemon) + "-admin"); }
  std::string PeerAddress(int daemon) const { return AddressOf(DaemonName(daemon) + "-peers"); }
  web& http() { return web_; }

  /** Sets a stand-in's fault switches. */
  void Fault(const std::string& name, const nlohmann::json& switches);
  nlohmann::json Stats(const std::string& name);
  /** Sets a host's state in the platform's list: "live", "leaving", or "gone". */
  void SetHostState(const std::string& name, const std::string& state);
  nlohmann::json AdminGet(int daemon, const std::string& target);
  web_exchange AdminPost(int daemon, const std::string& target, const nlohmann::json& arguments);

  static std::string DaemonName(int index) { return "daemon-" + std::to_string(index); }
  static http_request Completion(const std::string& question, int tokens, bool stream = true);
  static http_request Payment(const std::string& key, const std::string& body = "{}");

 private:
  void ChooseAddresses();
  void WriteSettings(int daemon) const;
  void WriteHosts();
  std::vector<std::string> CommandOf(const std::string& name) const;
  std::string File(const std::string& name) const { return folder_ + "/" + name; }

  fleet_options options_;
  std::string folder_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> host_states_;
  std::map<std::string, std::unique_ptr<process>> processes_;
  web web_;
};

}  // namespace hawthorndrum
