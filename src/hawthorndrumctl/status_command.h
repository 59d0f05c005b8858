/// `hawthorndrumctl status`: everything at a glance.
#pragma once

#include "command.h"

namespace hawthorndrum {

class status_command : public command {
 public:
  std::string_view name() const override { return "status"; }
  std::string_view summary() const override { return "show everything at a glance"; }
  std::string_view operands() const override { return ""; }
  std::string_view details() const override;
  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& given, command_streams streams) const override;
};

}  // namespace hawthorndrum
