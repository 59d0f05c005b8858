/// Explains what became of a request, from a daemon or from its log.
#pragma once

#include <string>
#include <vector>

#include "section_command.h"

namespace hawthorndrum {

/**
 * Asks a daemon's admin port, or with `--log` reads the lines that daemons wrote, so that one that
 * is gone can be explained too.
 */
class why_command : public section_command {
 public:
  why_command();

  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& given, command_streams streams) const override;

 private:
  static exit_code FromLog(const std::string& file, const arguments& given,
                           command_streams streams);
};

}  // namespace hawthorndrum
