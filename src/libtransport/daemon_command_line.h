/// The command line that all daemons share.
#pragma once

#include <optional>
#include <string>

namespace hawthorndrum {

/** The parsed options: `--settings FILE`, and `--check` to only check the settings. */
struct daemon_command_line {
  std::string settings;
  bool check = false;

  /** Parses the arguments. Returns the exit code if the program should exit now. */
  std::optional<int> Read(int argc, char** argv, const char* program, const char* usage);
};

/**
 * Returns the file's text. If the file can't be read, prints an error to standard error and returns
 * nothing.
 */
std::optional<std::string> ReadSettingsFile(const char* program, const std::string& file);

}  // namespace hawthorndrum
