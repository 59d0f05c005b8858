/// The interface of hawthorndrumctl's subcommands.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "arguments.h"
#include "exit_code.h"

namespace hawthorndrum {

/** The streams that a command writes to. */
struct command_streams {
  std::ostream& out;
  std::ostream& err;
};

/**
 * One subcommand. Parsing, `--help` and the test of the shell completion share its option specs.
 */
class command {
 public:
  virtual ~command() = default;
  virtual std::string_view name() const = 0;
  /** One line for the list of commands. */
  virtual std::string_view summary() const = 0;
  /** The arguments that are not options, as shown in the help. */
  virtual std::string_view operands() const = 0;
  /** The keywords that the first operand may be; empty if there are none. */
  virtual std::vector<std::string_view> keywords() const { return {}; }
  /** The text that the help shows below the options. */
  virtual std::string_view details() const { return {}; }
  virtual std::vector<option_spec> options() const = 0;
  virtual exit_code Run(const arguments& args, command_streams streams) const = 0;
};

}  // namespace hawthorndrum
