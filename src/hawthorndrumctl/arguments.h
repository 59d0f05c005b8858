/// Options and operands of a subcommand, parsed with getopt_long.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace hawthorndrum {

/** One option. It takes a value only if `value`, the value's name in the help, is not empty. */
struct option_spec {
  std::string_view name;
  std::string_view value;
  std::string_view help;
  /** The environment variable that is read when the option is not given; may be empty. */
  std::string_view variable = {};
};

/**
 * The options and operands given on the command line, and options set in the environment.
 */
class arguments {
 public:
  /** Parses the command line after the subcommand's name. */
  static expected<arguments> Parse(const std::vector<std::string>& words,
                                   const std::vector<option_spec>& options);

  bool Has(std::string_view option) const;
  /** The last value given for the option, or an empty string. */
  std::string Value(std::string_view option) const;
  std::vector<std::string> Values(std::string_view option) const;
  const std::vector<std::string>& operands() const { return operands_; }

 private:
  std::map<std::string, std::vector<std::string>, std::less<>> values_;
  std::vector<std::string> operands_;
};

}  // namespace hawthorndrum
