/// The command line that the daemons share.
#pragma once

#include <optional>
#include <string>

namespace hawthorndrum {

/** What was asked of a daemon: `--settings FILE`, and only to check them with `--check`. */
struct daemon_command_line {
  std::string settings;
  bool check = false;

  /** Reads the words; the exit code when there is nothing more to do. */
  std::optional<int> Read(int argc, char** argv, const char* program, const char* usage);
};

/** The file's text; nothing, with a line on standard error, when it can't be read. */
std::optional<std::string> ReadSettingsFile(const char* program, const std::string& file);

}  // namespace hawthorndrum
