/// hawthorndrumd: the daemon on every entry host.
#include <getopt.h>
#include <glog/logging.h>
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "daemon.h"
#include "log_setup.h"
#include "systems/settings_reader.h"

namespace hawthorndrum {
namespace {

constexpr int kUsageExitCode = 2;
constexpr int kSettingsExitCode = 3;

constexpr char kUsage[] =
    "Usage: hawthorndrumd --settings FILE [--check]\n"
    "\n"
    "  --settings FILE   the daemon's settings in YAML (docs/settings.md)\n"
    "  --check           check the settings and exit\n"
    "  --version         print the version and exit\n"
    "  --help            print this text and exit\n"
    "\n"
    "Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage, 3 settings refused.\n"
    "SIGTERM and SIGINT stop the daemon after its last request; SIGHUP reads TLS files again.\n";

struct command_line {
  std::string settings;
  bool check = false;
};

enum option_value : int { kSettings = 256, kCheck, kVersion, kHelp };

constexpr option kOptions[] = {{"settings", required_argument, nullptr, kSettings},
                               {"check", no_argument, nullptr, kCheck},
                               {"version", no_argument, nullptr, kVersion},
                               {"help", no_argument, nullptr, kHelp},
                               {nullptr, 0, nullptr, 0}};

/** Reads the command line; the exit code when there is nothing more to do. */
std::optional<int> ReadCommandLine(int argc, char** argv, command_line& line) {
  for (int value; (value = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    switch (value) {
      case kSettings:
        line.settings = optarg;
        break;
      case kCheck:
        line.check = true;
        break;
      case kVersion:
        std::puts("hawthorndrumd " HAWTHORNDRUM_VERSION);
        return 0;
      case kHelp:
        std::fputs(kUsage, stdout);
        return 0;
      default:
        return kUsageExitCode;
    }
  }
  if (optind == argc && !line.settings.empty()) return std::nullopt;
  std::fputs(kUsage, stderr);
  return kUsageExitCode;
}

std::optional<daemon_settings> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    std::fprintf(stderr, "hawthorndrumd: can't read %s\n", file.c_str());
    return std::nullopt;
  }
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  findings found;
  daemon_settings settings = ReadSettings(file, text, found);
  if (found.empty()) return settings;
  std::fputs(found.ToText().c_str(), stderr);
  return std::nullopt;
}

void WaitForSignals(boost::asio::signal_set& signals, daemon& served) {
  signals.async_wait([&signals, &served](boost::system::error_code failed, int signal) {
    if (failed) return;
    if (signal == SIGHUP) {
      const auto reread = served.RereadTls();
      if (!reread) LOG(ERROR) << "TLS files kept as they were: " << reread.error().message;
    } else {
      served.BeginStop();
    }
    WaitForSignals(signals, served);
  });
}

/** Connections are bounded by the settings, not by the soft limit of open files. */
void RaiseFileLimit() {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0) return;
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
}

int Serve(const daemon_settings& settings) {
  RaiseFileLimit();
  boost::asio::io_context io(1);
  daemon served(io, settings);
  const auto started = served.Start();
  if (!started) {
    std::fprintf(stderr, "hawthorndrumd: %s\n", started.error().message.c_str());
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  WaitForSignals(signals, served);
  io.run();
  return 0;
}

int Run(int argc, char** argv) {
  command_line line;
  if (const auto code = ReadCommandLine(argc, argv, line)) return *code;
  const auto settings = LoadSettings(line.settings);
  if (!settings) return kSettingsExitCode;
  if (line.check) return 0;
  StartLogging(argv[0], settings->log);
  return Serve(*settings);
}

}  // namespace
}  // namespace hawthorndrum

int main(int argc, char** argv) { return hawthorndrum::Run(argc, argv); }
