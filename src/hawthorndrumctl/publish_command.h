/// `hawthorndrumctl publish`: publishes service files as a new generation.
#pragma once

#include "command.h"

namespace hawthorndrum {

class publish_command : public command {
 public:
  std::string_view name() const override { return "publish"; }
  std::string_view summary() const override { return "put service files into force"; }
  std::string_view operands() const override { return "PATH..."; }
  std::string_view details() const override;
  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& args, command_streams streams) const override;
};

}  // namespace hawthorndrum
