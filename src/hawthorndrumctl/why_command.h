/// Explains what became of a request, from a daemon's admin port or from daemons' logs.
#pragma once

#include <string>
#include <vector>

#include "section_command.h"

namespace hawthorndrum {

/**
 * Asks a daemon's admin port or, with `--log`, reads log lines, which also works for daemons that
 * have stopped.
 */
class why_command : public section_command {
 public:
  why_command();

  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& args, command_streams streams) const override;

 private:
  static exit_code ExplainFromLog(const std::string& file, const arguments& args,
                                  command_streams streams);
};

}  // namespace hawthorndrum
