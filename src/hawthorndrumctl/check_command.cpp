/// Checks service files and prints the findings.
#include "check_command.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "common_options.h"
#include "service_folders.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

void PrintJson(const std::vector<service_definition>& services, const findings& found,
               std::ostream& out) {
  json list = json::array();
  for (const finding& one : found.items()) {
    list.push_back({{"file", one.where.file},
                    {"line", one.where.line},
                    {"column", one.where.column},
                    {"message", one.message},
                    {"hint", one.hint}});
  }
  const json report{{"services", services.size()}, {"findings", std::move(list)}};
  out << report.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

}  // namespace

std::string_view check_command::details() const {
  return "Reads every hawthorndrum.yaml below the folders, and files given by name. Prints all\n"
         "findings as file:line:column: message. Exit code 1 when there are any.\n";
}

std::vector<option_spec> check_command::options() const { return {kOutputOption, kHelpOption}; }

exit_code check_command::Run(const arguments& args, command_streams streams) const {
  const expected<bool> as_json = WantsJson(args);
  if (!as_json) return Fail(streams, as_json.error());
  if (args.operands().empty()) return Fail(streams, {error_code::kInvalid, "no folder given"});
  findings found;
  const std::vector<service_definition> services = CollectServices(args.operands(), found);
  if (*as_json) {
    PrintJson(services, found, streams.out);
  } else if (found.empty()) {
    streams.out << services.size() << " services, no findings\n";
  } else {
    streams.err << found.ToText();
  }
  return found.empty() ? exit_code::kDone : exit_code::kRefused;
}

}  // namespace hawthorndrum
