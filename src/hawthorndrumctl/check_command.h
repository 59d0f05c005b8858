/// `hawthorndrumctl check`: checks service files.
#pragma once

#include "command.h"

namespace hawthorndrum {

class check_command : public command {
 public:
  std::string_view name() const override { return "check"; }
  std::string_view summary() const override { return "check service files"; }
  std::string_view operands() const override { return "PATH..."; }
  std::string_view details() const override;
  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& args, command_streams streams) const override;
};

}  // namespace hawthorndrum
