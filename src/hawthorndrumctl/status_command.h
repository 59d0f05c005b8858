/// `hawthorndrumctl status`: a summary of several sections of the admin port.
#pragma once

#include "command.h"

namespace hawthorndrum {

class status_command : public command {
 public:
  std::string_view name() const override { return "status"; }
  std::string_view summary() const override { return "show a summary of the daemons' state"; }
  std::string_view operands() const override { return ""; }
  std::string_view details() const override;
  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& args, command_streams streams) const override;
};

}  // namespace hawthorndrum
