/// JSON encoding of the record.
#include "resumes/settled_builds.h"

#include <nlohmann/json.hpp>

#include "systems/json_fields.h"

namespace hawthorndrum {

namespace {

/** A record of a later format may mean something else. */
constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kMaxServices = 4096;

}  // namespace

std::string EncodeSettledBuilds(const settled_builds& record) {
  nlohmann::json builds = nlohmann::json::array();
  for (const auto& [service, build] : record.builds)
    builds.push_back({{"service", service}, {"build", build.value()}});
  const nlohmann::json object = {{"format", kFormat},
                                 {"era", record.era},
                                 {"routes", record.routes},
                                 {"builds", std::move(builds)}};
  return object.dump();
}

expected<settled_builds> DecodeSettledBuilds(std::string_view text) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  json_fields fields(object);
  settled_builds record;
  const bool is_known_format = fields.Unsigned("format") == kFormat;
  record.era = fields.Unsigned("era");
  record.routes = fields.Unsigned("routes");
  const nlohmann::json& builds = fields.Array("builds");
  bool ok = fields.ok() && is_known_format && builds.size() <= kMaxServices;
  for (const nlohmann::json& each : builds) {
    json_fields entry(each);
    const std::string service = entry.Text("service");
    record.builds[service] = software_build(entry.Unsigned("build"));
    ok = ok && entry.ok() && record.builds[service];
  }
  if (!ok) return tl::unexpected(error{error_code::kInvalid, "malformed record of builds"});
  return record;
}

}  // namespace hawthorndrum
