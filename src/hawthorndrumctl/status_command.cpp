/// Reads the sections of the admin port for the summary.
#include "status_command.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "admin_client.h"
#include "json_text.h"
#include "status_text.h"

namespace hawthorndrum {

std::string_view status_command::details() const {
  return "Daemons, data centres, the lease, upstreams with role, load and drain, the lowest\n"
         "generation in force and the daemons that lag, open claims, quarantined requests, as the\n"
         "daemon at --admin knows them. A line that starts with ! names a section that is "
         "missing.\n";
}

std::vector<option_spec> status_command::options() const { return AdminOptions(); }

exit_code status_command::Run(const arguments& args, command_streams streams) const {
  const expected<bool> as_json = WantsJson(args);
  if (!as_json) return Fail(streams, as_json.error());
  const expected<admin_client> client = admin_client::FromOptions(args);
  if (!client) return Fail(streams, client.error());
  nlohmann::json sections = nlohmann::json::object();
  for (const char* name :
       {"config", "peers", "leases", "orders", "claims", "poison", "upstreams"}) {
    const expected<nlohmann::json> report = client->Get(std::string("/admin/") + name);
    if (report) {
      sections[name] = *report;
      continue;
    }
    const bool missing = report.error().code == error_code::kNotFound;
    if (!missing) return Fail(streams, report.error());
    sections[name] = {{"problem", report.error().message}};
  }
  streams.out << (*as_json ? PrettyPrintJson(sections) : StatusAsText(sections));
  return exit_code::kDone;
}

}  // namespace hawthorndrum
