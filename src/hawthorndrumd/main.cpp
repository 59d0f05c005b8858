/// hawthorndrumd: the daemon that runs on every entry host.
#include <glog/logging.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include "bounded_output.h"
#include "daemon.h"
#include "daemon_command_line.h"
#include "log_setup.h"
#include "open_files.h"
#include "process_signals.h"
#include "systems/settings_reader.h"

namespace hawthorndrum {
namespace {

constexpr char kProgram[] = "hawthorndrumd";
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
    "SIGTERM and SIGINT stop the daemon after its last request; SIGHUP reloads the TLS files.\n";

std::optional<daemon_settings> LoadSettings(const std::string& file) {
  const auto text = ReadSettingsFile(kProgram, file);
  if (!text) return std::nullopt;
  findings found;
  daemon_settings settings = ReadSettings(file, *text, found);
  if (found.empty()) return settings;
  PrintError(found.ToText());
  return std::nullopt;
}

void WaitForSignals(boost::asio::signal_set& signals, daemon& instance) {
  signals.async_wait([&signals, &instance](boost::system::error_code failed, int signal) {
    if (failed) return;
    if (signal == SIGHUP) {
      const auto reloaded = instance.ReloadTls();
      if (!reloaded)
        LOG(ERROR) << "can't reload TLS files, keeping the previous ones: "
                   << reloaded.error().message;
    } else {
      instance.BeginStop();
    }
    WaitForSignals(signals, instance);
  });
}

int Serve(const daemon_settings& settings) {
  // The settings bound the connections, so the soft limit must not.
  RaiseOpenFiles(std::numeric_limits<std::uint32_t>::max());
  boost::asio::io_context io(1);
  daemon instance(io, settings);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  WaitForSignals(signals, instance);
  const auto started = instance.Start();
  if (!started) {
    PrintError(std::string(kProgram) + ": " + started.error().message + "\n");
    return 1;
  }
  ReleaseSignals();
  io.run();
  // The handlers go before the process does.
  HoldSignals();
  return 0;
}

int Run(int argc, char** argv) {
  daemon_command_line line;
  if (const auto code = line.Read(argc, argv, kProgram, kUsage)) return *code;
  const auto settings = LoadSettings(line.settings);
  if (!settings) return kSettingsExitCode;
  if (line.check) return 0;
  StartLogging(argv[0], settings->log);
  return Serve(*settings);
}

}  // namespace
}  // namespace hawthorndrum

int main(int argc, char** argv) {
  hawthorndrum::HoldSignals();
  return hawthorndrum::Run(argc, argv);
}
