/// Finds the subcommand, parses its arguments and runs it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "command.h"

namespace hawthorndrum {

/** All subcommands, in the order in which the help lists them. */
std::vector<std::unique_ptr<command>> AllCommands();

/** Runs a command line, given without the program's name, and returns the exit code. */
exit_code RunCommandLine(const std::vector<std::string>& words, command_streams streams);

/** The text of `--help` for the command. */
std::string HelpText(const command& one);

}  // namespace hawthorndrum
