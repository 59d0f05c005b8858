/// Parses a daemon's command line with getopt_long.
#include "daemon_command_line.h"

#include <getopt.h>

#include <cstdio>
#include <fstream>
#include <iterator>

#include "bounded_output.h"

namespace hawthorndrum {

namespace {

constexpr int kUsageExitCode = 2;

enum option_value : int { kSettings = 256, kCheck, kVersion, kHelp };

constexpr option kOptions[] = {{"settings", required_argument, nullptr, kSettings},
                               {"check", no_argument, nullptr, kCheck},
                               {"version", no_argument, nullptr, kVersion},
                               {"help", no_argument, nullptr, kHelp},
                               {nullptr, 0, nullptr, 0}};

}  // namespace

std::optional<int> daemon_command_line::Read(int argc, char** argv, const char* program,
                                             const char* usage) {
  for (int value; (value = getopt_long(argc, argv, "", kOptions, nullptr)) != -1;) {
    switch (value) {
      case kSettings:
        settings = optarg;
        break;
      case kCheck:
        check = true;
        break;
      case kVersion:
        std::printf("%s " HAWTHORNDRUM_VERSION "\n", program);
        return 0;
      case kHelp:
        std::fputs(usage, stdout);
        return 0;
      default:
        return kUsageExitCode;
    }
  }
  if (optind == argc && !settings.empty()) return std::nullopt;
  std::fputs(usage, stderr);
  return kUsageExitCode;
}

std::optional<std::string> ReadSettingsFile(const char* program, const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    PrintError(std::string(program) + ": can't read " + file + "\n");
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

}  // namespace hawthorndrum
