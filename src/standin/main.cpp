/// hawthorndrum-standin: stand-ins for the platform and the upstreams, and a load tool.
#include <getopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/role_names.h"
#include "engine_standin.h"
#include "host_list_standin.h"
#include "load_command.h"
#include "service_standin.h"
#include "store_standin.h"
#include "weight_standin.h"

namespace hawthorndrum {
namespace {

constexpr int kUsageExitCode = 2;

constexpr char kUsage[] =
    "Usage: hawthorndrum-standin KIND --listen IP:PORT [options]\n"
    "\n"
    "Kinds: object-store, host-list, engine, service, weights\n"
    "Also: hawthorndrum-standin load --help, a load tool\n"
    "\n"
    "  --listen IP:PORT          address to listen on\n"
    "  --hosts FILE              host-list: initial list, as JSON\n"
    "  --model NAME:VERSION      engine: a loaded model (may be repeated)\n"
    "  --role ROLE               engine: mixed, prefill or decode\n"
    "  --prefill-rate N          engine: prompt tokens per second\n"
    "  --decode-rate N           engine: tokens per second of one stream\n"
    "  --streams N               engine: number of concurrent streams\n"
    "  --order-ms N              engine: duration of an order\n"
    "  --ignores-fencing         engine: also accept orders with a stale fencing number\n"
    "  --name NAME               service: the worker's name in its answers\n"
    "  --run-ms N                service: duration of a call\n"
    "  --reads-per-second N      weights: read rate shared by all readers\n"
    "  --help                    this text\n";

struct command_line {
  std::string kind;
  std::string listen;
  std::string hosts;
  std::string name = "service";
  engine_options engine;
  duration run_time{0};
  double reads_per_second = 2;
};

enum option_value : int {
  kListen = 256,
  kHosts,
  kModel,
  kRole,
  kPrefillRate,
  kDecodeRate,
  kStreams,
  kOrderMs,
  kIgnoresFencing,
  kName,
  kRunMs,
  kReadsPerSecond,
  kHelp,
};

constexpr option kOptions[] = {{"listen", required_argument, nullptr, kListen},
                               {"hosts", required_argument, nullptr, kHosts},
                               {"model", required_argument, nullptr, kModel},
                               {"role", required_argument, nullptr, kRole},
                               {"prefill-rate", required_argument, nullptr, kPrefillRate},
                               {"decode-rate", required_argument, nullptr, kDecodeRate},
                               {"streams", required_argument, nullptr, kStreams},
                               {"order-ms", required_argument, nullptr, kOrderMs},
                               {"ignores-fencing", no_argument, nullptr, kIgnoresFencing},
                               {"name", required_argument, nullptr, kName},
                               {"run-ms", required_argument, nullptr, kRunMs},
                               {"reads-per-second", required_argument, nullptr, kReadsPerSecond},
                               {"help", no_argument, nullptr, kHelp},
                               {nullptr, 0, nullptr, 0}};

loaded_model ReadModel(const std::string& text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos) return {text, "1", {}};
  return {text.substr(0, colon), text.substr(colon + 1), {}};
}

bool ApplyOption(int value, const char* argument, command_line& line) {
  switch (value) {
    case kListen:
      line.listen = argument;
      return true;
    case kHosts:
      line.hosts = argument;
      return true;
    case kModel:
      line.engine.models.push_back(ReadModel(argument));
      return true;
    case kRole:
      line.engine.role = RoleOf(argument);
      return true;
    case kPrefillRate:
      line.engine.prefill_tokens_per_second = std::atof(argument);
      return true;
    case kDecodeRate:
      line.engine.decode_tokens_per_second = std::atof(argument);
      return true;
    case kStreams:
      line.engine.streams = static_cast<std::uint32_t>(std::atoi(argument));
      return true;
    case kOrderMs:
      line.engine.order_time = milliseconds(std::atoi(argument));
      return true;
    case kIgnoresFencing:
      line.engine.checks_fencing = false;
      return true;
    case kName:
      line.name = argument;
      return true;
    case kRunMs:
      line.run_time = milliseconds(std::atoi(argument));
      return true;
    case kReadsPerSecond:
      line.reads_per_second = std::atof(argument);
      return true;
    default:
      return false;
  }
}

std::unique_ptr<standin_server> MakeHostList(boost::asio::io_context& io, const std::string& file) {
  auto list = std::make_unique<host_list_standin>(io);
  if (file.empty()) return list;
  std::ifstream text(file);
  auto hosts = nlohmann::json::parse(text, nullptr, false);
  if (!hosts.is_object()) {
    std::fprintf(stderr, "hawthorndrum-standin: %s does not contain a JSON object\n", file.c_str());
    return nullptr;
  }
  list->Replace(std::move(hosts));
  return list;
}

std::unique_ptr<standin_server> Make(boost::asio::io_context& io, const command_line& line) {
  if (line.kind == "object-store") return std::make_unique<store_standin>(io);
  if (line.kind == "host-list") return MakeHostList(io, line.hosts);
  if (line.kind == "engine") return std::make_unique<engine_standin>(io, line.engine);
  if (line.kind == "weights") return std::make_unique<weight_standin>(io, line.reads_per_second);
  if (line.kind == "service") {
    return std::make_unique<service_standin>(io, line.name, line.run_time);
  }
  std::fprintf(stderr, "hawthorndrum-standin: unknown kind '%s'\n%s", line.kind.c_str(), kUsage);
  return nullptr;
}

int Run(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "load") return RunLoadCommand(argc - 1, argv + 1);
  command_line line;
  for (int value; (value = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    if (value == kHelp) {
      std::fputs(kUsage, stdout);
      return 0;
    }
    if (!ApplyOption(value, optarg, line)) return kUsageExitCode;
  }
  if (optind + 1 != argc) {
    std::fputs(kUsage, stderr);
    return kUsageExitCode;
  }
  line.kind = argv[optind];
  boost::asio::io_context io(1);
  const auto server = Make(io, line);
  if (!server) return kUsageExitCode;
  const auto port = server->Listen(line.listen);
  if (!port) {
    std::fprintf(stderr, "hawthorndrum-standin: %s\n", port.error().message.c_str());
    return 1;
  }
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace hawthorndrum

int main(int argc, char** argv) { return hawthorndrum::Run(argc, argv); }
