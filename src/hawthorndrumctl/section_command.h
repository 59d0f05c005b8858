/// Subcommands that show a section of the admin port and give it orders.
#pragma once

#include <string>
#include <vector>

#include "command.h"

namespace hawthorndrum {

class admin_client;

/** A word that makes the section do something, and the operands that it needs. */
struct section_verb {
  std::string_view word;
  /** The verb in the admin port's path. */
  std::string_view verb;
  /** The JSON fields that the operands after the word become. */
  std::vector<std::string_view> fields;
};

/** What one such subcommand is. */
struct section_spec {
  std::string_view name;
  std::string_view summary;
  std::string_view operands;
  std::string_view section;
  std::vector<section_verb> verbs;
  std::string_view details;
  /** Whether operands that start with no verb are those of the first verb. */
  bool first_verb_is_implied = false;
};

/**
 * Without operands it prints the section, with one that is no verb it prints that item, and with a
 * verb and its operands it gives that order.
 */
class section_command : public command {
 public:
  explicit section_command(section_spec spec) : spec_(std::move(spec)) {}

  std::string_view name() const override { return spec_.name; }
  std::string_view summary() const override { return spec_.summary; }
  std::string_view operands() const override { return spec_.operands; }
  std::string_view details() const override { return spec_.details; }
  std::vector<std::string_view> words() const override;
  std::vector<option_spec> options() const override;
  exit_code Run(const arguments& given, command_streams streams) const override;

 private:
  const section_verb* FindVerb(const std::string& word) const;
  exit_code Show(const admin_client& client, const std::vector<std::string>& operands, bool as_json,
                 command_streams streams) const;
  exit_code Act(const admin_client& client, const section_verb& verb,
                const std::vector<std::string>& operands, bool as_json,
                command_streams streams) const;

  section_spec spec_;
};

/** All sections that daemons have. */
std::vector<section_spec> SectionSpecs();

}  // namespace hawthorndrum
