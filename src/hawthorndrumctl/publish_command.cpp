/// Collects service files and publishes them.
#include "publish_command.h"

#include <ostream>

#include "publish_run.h"
#include "service_folders.h"

namespace hawthorndrum {
namespace {

std::vector<service_change> ToChanges(std::vector<service_definition> services,
                                      const std::vector<std::string>& removed) {
  std::vector<service_change> changes;
  for (service_definition& service : services) {
    std::string name = service.config.name;
    changes.push_back({std::move(name), std::move(service.config)});
  }
  for (const std::string& name : removed) changes.push_back({name, std::nullopt});
  return changes;
}

}  // namespace

std::string_view publish_command::details() const {
  return "Checks the service files below the folders and puts them into force in one generation.\n"
         "Services that are not named stay as they are; --remove takes one out of force. If\n"
         "another operator has changed one of the services meanwhile, nothing is published, and\n"
         "the command prints what changed, by whom and when (exit code 3). Exit code 5: the\n"
         "store's last answer was lost; repeat the command with the --publish-id that it prints.\n";
}

std::vector<option_spec> publish_command::options() const {
  std::vector<option_spec> specs = PublishOptions();
  specs.push_back({"remove", "SERVICE", "take a service out of force; may be repeated"});
  for (const option_spec& spec : AdminOptions()) specs.push_back(spec);
  return specs;
}

exit_code publish_command::Run(const arguments& args, command_streams streams) const {
  const expected<bool> as_json = WantsJson(args);
  if (!as_json) return Fail(streams, as_json.error());
  const std::vector<std::string> removed = args.Values("remove");
  if (args.operands().empty() && removed.empty()) {
    return Fail(streams,
                {error_code::kInvalid, "expected a folder or a file, or a service with --remove"});
  }
  if (args.Value("store").empty()) {
    return Fail(streams,
                {error_code::kInvalid, "--store is required: the address of the object API"});
  }
  findings found;
  std::vector<service_definition> services = CollectServices(args.operands(), found);
  if (!found.empty()) {
    streams.err << found.ToText() << "hawthorndrumctl: nothing was published\n";
    return exit_code::kRefused;
  }
  expected<publish_request> request = RequestFromOptions(args);
  if (!request) return Fail(streams, request.error());
  request->changes = ToChanges(std::move(services), removed);

  return PublishAndWait(std::move(*request), args, *as_json, streams);
}

}  // namespace hawthorndrum
