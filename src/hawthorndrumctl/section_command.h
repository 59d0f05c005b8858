/// Subcommands that show a section of the admin port and call its verbs.
#pragma once

#include <string>
#include <vector>

#include "command.h"

namespace hawthorndrum {

class admin_client;

/** A keyword that calls a verb of the section, and the operands that it needs. */
struct section_verb {
  std::string_view keyword;
  /** The verb in the admin port's path. */
  std::string_view verb;
  /** The JSON fields in which the operands after the keyword are sent. */
  std::vector<std::string_view> fields;
};

/** Describes one such subcommand. */
struct section_spec {
  std::string_view name;
  std::string_view summary;
  std::string_view operands;
  std::string_view section;
  std::vector<section_verb> verbs;
  std::string_view details;
  /** Whether operands that do not start with a verb are operands of the first verb. */
  bool first_verb_is_implied = false;
};

/**
 * Prints the section if there are no operands, calls a verb if the first operand is one, and
 * otherwise prints the item that the operand names.
 */
class section_command : public command {
 public:
  explicit section_command(section_spec spec) : spec_(std::move(spec)) {}

  std::string_view name() const override { return spec_.name; }
  std::string_view summary() const override { return spec_.summary; }
  std::string_view operands() const override { return spec_.operands; }
  std::string_view details() const override { return spec_.details; }
  std::vector<std::string_view> keywords() const override;
  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& args, command_streams streams) const override;

 private:
  const section_verb* FindVerb(const std::string& keyword) const;
  exit_code Show(const admin_client& client, const std::vector<std::string>& operands, bool as_json,
                 command_streams streams) const;
  exit_code Act(const admin_client& client, const section_verb& verb,
                const std::vector<std::string>& operands, bool as_json,
                command_streams streams) const;

  section_spec spec_;
};

/** The sections of the admin port that have such a subcommand. */
std::vector<section_spec> SectionSpecs();

}  // namespace hawthorndrum
