/// Calls the sections of the admin port.
#include "section_command.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "admin_client.h"
#include "base/url.h"
#include "json_text.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

exit_code Print(const expected<json>& report, bool as_json, command_streams streams) {
  if (!report) return Fail(streams, report.error());
  streams.out << (as_json ? PrettyPrintJson(*report) : JsonAsText(*report));
  return exit_code::kDone;
}

}  // namespace

std::vector<std::string_view> section_command::keywords() const {
  std::vector<std::string_view> keywords;
  keywords.reserve(spec_.verbs.size());
  for (const section_verb& verb : spec_.verbs) keywords.push_back(verb.keyword);
  return keywords;
}

std::vector<option_spec> section_command::options() const { return AdminOptions(); }

const section_verb* section_command::FindVerb(const std::string& keyword) const {
  for (const section_verb& verb : spec_.verbs) {
    if (verb.keyword == keyword) return &verb;
  }
  return nullptr;
}

exit_code section_command::Show(const admin_client& client,
                                const std::vector<std::string>& operands, bool as_json,
                                command_streams streams) const {
  if (operands.size() > 1) return Fail(streams, {error_code::kInvalid, "too many arguments"});
  // An item may consist of several segments, such as a claim's kind and name.
  const std::string item = operands.empty() ? "" : "/" + EscapePath(operands.front());
  return Print(client.Get(UrlTarget({"admin", spec_.section}) + item), as_json, streams);
}

exit_code section_command::Act(const admin_client& client, const section_verb& verb,
                               const std::vector<std::string>& operands, bool as_json,
                               command_streams streams) const {
  if (operands.size() != verb.fields.size()) {
    std::string wanted = std::string(spec_.name) + " " + std::string(verb.keyword);
    for (const std::string_view field : verb.fields) wanted += " " + std::string(field);
    return Fail(streams, {error_code::kInvalid, "expected: " + wanted});
  }
  json body = json::object();
  for (std::size_t i = 0; i < operands.size(); ++i) {
    body[std::string(verb.fields[i])] = operands[i];
  }
  const std::string path = UrlTarget({"admin", spec_.section, verb.verb});
  return Print(client.Post(path, body), as_json, streams);
}

exit_code section_command::Run(const arguments& args, command_streams streams) const {
  const expected<bool> as_json = WantsJson(args);
  if (!as_json) return Fail(streams, as_json.error());
  const expected<admin_client> client = admin_client::FromOptions(args);
  if (!client) return Fail(streams, client.error());
  const std::vector<std::string>& operands = args.operands();
  const section_verb* verb = operands.empty() ? nullptr : FindVerb(operands.front());
  if (verb != nullptr) {
    return Act(*client, *verb, {operands.begin() + 1, operands.end()}, *as_json, streams);
  }
  if (spec_.first_verb_is_implied) {
    return Act(*client, spec_.verbs.front(), operands, *as_json, streams);
  }
  return Show(*client, operands, *as_json, streams);
}

std::vector<section_spec> SectionSpecs() {
  return {
      {"upstreams",
       "show engines and plain services",
       "[ADDRESS]",
       "upstreams",
       {},
       "Role, load and whether the upstream gets new work, as this daemon knows them.\n"},
      {"drain",
       "drain an upstream, or end its drain",
       "ADDRESS | stop ADDRESS",
       "upstreams",
       {{"start", "drain", {"address"}}, {"stop", "undrain", {"address"}}},
       "A drained upstream gets no new work; its requests in flight finish normally.\n",
       true},
      {"orders",
       "show orders to engines; give or release one",
       "[ENGINE | set-role ENGINE ROLE | release ENGINE]",
       "orders",
       {{"set-role", "set_role", {"engine", "role"}}, {"release", "release", {"engine"}}},
       "Ask the daemon that holds the lease. `release` declares that the process that sent the\n"
       "open order has ended for good; only then may the engine get a different order.\n"},
      {"roles", "show the plan for the engines' roles", "", "roles", {}, ""},
      {"claims",
       "show open claims; settle one",
       "[SERVICE/KEY | load SERVICE KEY | settle SERVICE KEY ATTEMPT STATE]",
       "claims",
       {{"load", "load", {"service", "key"}},
        {"settle", "settle", {"service", "key", "attempt", "state"}}},
       "A claim whose outcome is unknown stays closed until an operator who knows it settles "
       "it.\n"},
      {"leases",
       "show the holder of the lease; release the lease",
       "[give-back]",
       "leases",
       {{"give-back", "give_back", {}}},
       ""},
      {"peers", "show the other daemons", "[ADDRESS]", "peers", {}, ""},
      {"poison",
       "show suspect and convicted requests; clear one",
       "[clear FINGERPRINT]",
       "poison",
       {{"clear", "clear", {"fingerprint"}}},
       ""},
  };
}

}  // namespace hawthorndrum
