/// Starts a fleet of processes and sends calls to its members.
#include "fleet.h"

#include <stdlib.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <fstream>

namespace hawthorndrum {

namespace {

using boost::asio::ip::tcp;

constexpr char kToken[] = "end-to-end-admin-token";
constexpr char kPeerKey[] = "end-to-end-peer-key-123";

std::string ProgramPath(const std::string& name) { return "build/" + name; }

std::string MemberName(const std::string& kind, int index) {
  return kind + "-" + std::to_string(index);
}

}  // namespace

fleet::fleet(fleet_options options) : options_(std::move(options)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  ChooseAddresses();
  WriteHosts();
  Start("store");
  Start("hosts");
  for (int i = 0; i < options_.engines; ++i) Start(MemberName("engine", i));
  for (int i = 0; i < options_.workers; ++i) Start(MemberName("worker", i));
  for (int i = 0; i < options_.daemons; ++i) {
    WriteSettings(i);
    Start(DaemonName(i));
  }
  web_.WaitUntil([&] { return Stats("store").is_object(); });
  process publish({ProgramPath("hawthorndrumctl"), "publish", "examples/hearthwell", "--store",
                   AddressOf("store")},
                  File("publish.log"));
  publish.Wait();
}

fleet::~fleet() {
  processes_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void fleet::ChooseAddresses() {
  std::vector<std::string> names = {"store", "hosts"};
  for (int i = 0; i < options_.engines; ++i) names.push_back(MemberName("engine", i));
  for (int i = 0; i < options_.workers; ++i) names.push_back(MemberName("worker", i));
  for (int i = 0; i < options_.daemons; ++i) {
    for (const char* port : {"", "-peers", "-admin"}) names.push_back(DaemonName(i) + port);
  }
  // All ports are held open until the last is chosen, so that none is chosen twice.
  boost::asio::io_context io;
  std::vector<tcp::acceptor> held;
  for (const std::string& name : names) {
    held.emplace_back(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    addresses_[name] = "127.0.0.1:" + std::to_string(held.back().local_endpoint().port());
  }
}

void fleet::WriteSettings(int daemon) const {
  std::ofstream file(File(DaemonName(daemon) + ".yaml"));
  file << "data_centre: marlow\nregion: midlands\n"
       << "callers: " << CallerAddress(daemon) << "\n"
       << "peers: " << PeerAddress(daemon) << "\n"
       << "admin: " << AdminAddress(daemon) << "\n"
       << "object_api: " << AddressOf("store") << "\n"
       << "host_list: " << AddressOf("hosts") << "\n"
       << "admin_token: " << kToken << "\n"
       << "peer_key: " << kPeerKey << "\n"
       << "lease_duration: 3s\n"
       << "stop_grace: 200ms\n"
       << "seed_peers: [" << PeerAddress(0) << "]\n";
  if (options_.trace_exporter.empty()) return;
  file << "trace_exporter: " << options_.trace_exporter << "\ntrace_share: 1\n";
}

void fleet::WriteHosts() {
  nlohmann::json hosts = nlohmann::json::array();
  const auto add = [&](const std::string& name, const std::string& kind, const std::string& pool,
                       const std::string& address, bool checks_fencing) {
    const std::string state = host_states_.count(name) ? host_states_.at(name) : "live";
    if (state == "gone") return;
    hosts.push_back({{"address", address},
                     {"kind", kind},
                     {"pool", pool},
                     {"data_centre", "marlow"},
                     {"state", state},
                     {"checks_fencing", checks_fencing},
                     {"incarnation", 1}});
  };
  for (int i = 0; i < options_.engines; ++i) {
    const std::string name = MemberName("engine", i);
    add(name, "engine", "", AddressOf(name), options_.engines_check_fencing);
  }
  for (int i = 0; i < options_.workers; ++i) {
    const std::string name = MemberName("worker", i);
    add(name, "service", "payments", AddressOf(name), false);
  }
  for (int i = 0; i < options_.daemons; ++i)
    add(DaemonName(i), "daemon", "", PeerAddress(i), false);
  std::ofstream(File("hosts.json")) << nlohmann::json{{"hosts", hosts}}.dump();
}

void fleet::Start(const std::string& name) {
  processes_[name] = std::make_unique<process>(CommandOf(name), File(name + ".log"));
}

std::vector<std::string> fleet::CommandOf(const std::string& name) const {
  if (name.rfind("daemon", 0) == 0) {
    return {ProgramPath("hawthorndrumd"), "--settings", File(name + ".yaml")};
  }
  std::vector<std::string> command = {ProgramPath("hawthorndrum-standin")};
  const auto append = [&](const std::vector<std::string>& more) {
    command.insert(command.end(), more.begin(), more.end());
  };
  const std::string& address = AddressOf(name);
  if (name == "store") append({"object-store", "--listen", address});
  if (name == "hosts") append({"host-list", "--listen", address, "--hosts", File("hosts.json")});
  if (name.rfind("engine", 0) == 0) {
    append({"engine", "--listen", address, "--model", "oak-7b:1"});
    append(options_.engine_arguments);
    if (!options_.engines_check_fencing) append({"--ignores-fencing"});
  }
  if (name.rfind("worker", 0) == 0) {
    append({"service", "--listen", address, "--name", name});
    append(options_.worker_arguments);
  }
  return command;
}

bool fleet::WaitUntilServing() {
  for (int i = 0; i < options_.daemons; ++i) {
    const bool serving = web_.WaitUntil(
        [&] { return web_.Call(CallerAddress(i), Completion("ready?", 1)).HasDone(); });
    if (!serving) return false;
  }
  return true;
}

void fleet::Fault(const std::string& name, const nlohmann::json& switches) {
  web_.Call(AddressOf(name), {"POST", "/_fault", {}, switches.dump()});
}

nlohmann::json fleet::Stats(const std::string& name) {
  return web_.GetJson(AddressOf(name), "/_stats");
}

void fleet::SetHostState(const std::string& name, const std::string& state) {
  host_states_[name] = state;
  WriteHosts();
  std::ifstream file(File("hosts.json"));
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  web_.Call(AddressOf("hosts"), {"PUT", "/v1/hosts", {}, text});
}

nlohmann::json fleet::AdminGet(int daemon, const std::string& target) {
  http_request request{"GET", target, {}, {}};
  request.headers.push_back({"Authorization", std::string("Bearer ") + kToken});
  return nlohmann::json::parse(web_.Call(AdminAddress(daemon), request).body, nullptr, false);
}

web_exchange fleet::AdminPost(int daemon, const std::string& target,
                              const nlohmann::json& arguments) {
  http_request request{"POST", target, {}, arguments.dump()};
  request.headers.push_back({"Authorization", std::string("Bearer ") + kToken});
  return web_.Call(AdminAddress(daemon), request);
}

http_request fleet::Completion(const std::string& question, int tokens, bool stream) {
  const nlohmann::json message = {{"role", "user"}, {"content", question}};
  const nlohmann::json body = {{"model", "oak-7b"},
                               {"stream", stream},
                               {"max_tokens", tokens},
                               {"messages", nlohmann::json::array({message})}};
  return {"POST",
          "/services/dispatch-summaries/v1/chat/completions",
          {{"Content-Type", "application/json"}},
          body.dump()};
}

http_request fleet::Payment(const std::string& key, const std::string& body) {
  return {"POST", "/services/payments/pay", {{"Idempotency-Key", key}}, body};
}

}  // namespace hawthorndrum
