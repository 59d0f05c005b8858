/// The interface of hawthorndrumctl's subcommands.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "arguments.h"
#include "exit_code.h"

namespace hawthorndrum {

/** Where a command writes to. */
struct command_streams {
  std::ostream& out;
  std::ostream& err;
};

/**
 * One subcommand. Its options are in the same form for parsing, for `--help` and for completion.
 */
class command {
 public:
  virtual ~command() = default;
  virtual std::string_view name() const = 0;
  /** One line for the list of commands. */
  virtual std::string_view summary() const = 0;
  /** The arguments that are not options, as shown in the help. */
  virtual std::string_view operands() const = 0;
  /** The words that the first operand may be; empty when it is free. */
  virtual std::vector<std::string_view> words() const { return {}; }
  /** What the help says below the options. */
  virtual std::string_view details() const { return {}; }
  virtual std::vector<option_spec> options() const = 0;
  virtual exit_code Run(const arguments& given, command_streams streams) const = 0;
};

}  // namespace hawthorndrum
