/// `hawthorndrumctl config`: shows, compares, rolls back and prunes generations.
#pragma once

#include "command.h"

namespace hawthorndrum {

class blocking_object_store;
class stored_config;

class config_command : public command {
 public:
  std::string_view name() const override { return "config"; }
  std::string_view summary() const override { return "show and compare generations; roll back"; }
  std::string_view operands() const override {
    return "history | show [SERVICE] | diff FROM TO | rollback GENERATION [SERVICE]... | prune";
  }
  std::vector<std::string_view> keywords() const override {
    return {"history", "show", "diff", "rollback", "prune"};
  }
  std::string_view details() const override;
  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& args, command_streams streams) const override;

 private:
  exit_code History(stored_config& config, const arguments& args, bool as_json,
                    command_streams streams) const;
  exit_code Show(stored_config& config, const arguments& args, bool as_json,
                 command_streams streams) const;
  exit_code Compare(stored_config& config, const arguments& args, bool as_json,
                    command_streams streams) const;
  exit_code Prune(blocking_object_store& store, stored_config& config, const arguments& args,
                  bool as_json, command_streams streams) const;
  exit_code RollBack(stored_config& config, const arguments& args, bool as_json,
                     command_streams streams) const;
};

}  // namespace hawthorndrum
