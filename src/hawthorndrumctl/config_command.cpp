/// Generations from the command line.
#include "config_command.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <ostream>

#include "blocking_object_store.h"
#include "config_pruner.h"
#include "json_text.h"
#include "publish_run.h"
#include "publish_text.h"
#include "stored_config.h"
#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

constexpr std::uint64_t kDefaultHistory = 20;
constexpr std::uint64_t kDefaultKeep = 1000;

expected<generation> ParseGeneration(const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (problem != std::errc() || end != text.data() + text.size() || number == 0) {
    return tl::make_unexpected(error{error_code::kInvalid, "not a generation: " + text});
  }
  return generation(number);
}

expected<config_head> HeadNamed(stored_config& config, const std::string& text) {
  const expected<generation> number = ParseGeneration(text);
  if (!number) return tl::make_unexpected(number.error());
  return config.Head(*number);
}

json HeadAsJson(const config_head& head) {
  return json{{"generation", head.number.value()}, {"time", FormatTime(head.made.time)},
              {"author", head.made.author},        {"note", head.made.note},
              {"changes", head.made.changes},      {"services", head.made.services}};
}

json EntryAsJson(const config_entry& entry) {
  return json{{"service", json::parse(EncodeService(entry.config), nullptr, false)},
              {"changed_in", entry.changed_in.value()},
              {"changed_by", entry.changed_by},
              {"changed_at", FormatTime(entry.changed_at)}};
}

void Print(const json& report, bool as_json, std::ostream& out) {
  out << (as_json ? JsonAsJson(report) : JsonAsText(report));
}

/** The changes as a publishing result, so that both are printed alike. */
expected<publish_result> DescribeChanges(stored_config& config, const config_head& from,
                                         const std::vector<service_change>& changes) {
  publish_result result;
  result.status = publish_status::kPlanned;
  result.number = from.number;
  for (const service_change& change : changes) {
    planned_change described;
    described.service = change.name;
    const expected<config_entry> before = config.Find(from, change.name);
    if (!before && before.error().code != error_code::kNotFound) {
      return tl::make_unexpected(before.error());
    }
    if (!change.wanted) {
      described.kind = change_kind::kRemoved;
    } else if (!before) {
      described.kind = change_kind::kAdded;
    } else {
      described.lines = DescribeDifference(before->config, *change.wanted);
    }
    result.changes.push_back(std::move(described));
  }
  return result;
}

}  // namespace

std::string_view config_command::details() const {
  return "history   the last generations, newest first\n"
         "show      the services in force, or all fields of one\n"
         "diff      what changed between two generations\n"
         "rollback  puts an earlier generation's services into force again, as a new generation;\n"
         "          with names, only those services\n"
         "prune     removes parts and history that no kept generation needs\n";
}

std::vector<option_spec> config_command::options() const {
  std::vector<option_spec> specs = PublishOptions();
  specs.push_back({"keep", "N", "how many generations prune keeps (default: 1000)"});
  specs.push_back({"count", "N", "how many generations history shows (default: 20)"});
  for (const option_spec& spec : AdminOptions()) specs.push_back(spec);
  return specs;
}

exit_code config_command::Run(const arguments& given, command_streams streams) const {
  const expected<bool> as_json = WantsJson(given);
  if (!as_json) return Fail(streams, as_json.error());
  if (given.Value("store").empty()) {
    return Fail(streams, {error_code::kInvalid, "name the object API with --store"});
  }
  blocking_object_store store(http_endpoint{given.Value("store"), {}});
  stored_config config(store);
  const std::string verb = given.operands().empty() ? "" : given.operands().front();
  if (verb == "history") return History(config, given, *as_json, streams);
  if (verb == "show") return Show(config, given, *as_json, streams);
  if (verb == "diff") return Compare(config, given, *as_json, streams);
  if (verb == "rollback") return RollBack(config, given, *as_json, streams);
  if (verb == "prune") return Prune(store, config, given, *as_json, streams);
  return Fail(streams, {error_code::kInvalid, "expected: config " + std::string(operands())});
}

exit_code config_command::History(stored_config& config, const arguments& given, bool as_json,
                                  command_streams streams) const {
  const expected<std::uint64_t> count = NumberOption(given, "count", kDefaultHistory);
  if (!count) return Fail(streams, count.error());
  const expected<config_head> newest = config.Newest();
  if (!newest) return Fail(streams, newest.error());
  json list = json::array();
  list.push_back(HeadAsJson(*newest));
  const std::uint64_t number = newest->number.value();
  for (std::uint64_t back = 1; back < std::min(*count, number); ++back) {
    const expected<config_head> head = config.Head(generation(number - back));
    if (head) list.push_back(HeadAsJson(*head));
    if (!head && head.error().code != error_code::kNotFound) return Fail(streams, head.error());
  }
  Print(list, as_json, streams.out);
  return exit_code::kDone;
}

exit_code config_command::Show(stored_config& config, const arguments& given, bool as_json,
                               command_streams streams) const {
  const expected<config_head> head = config.Newest();
  if (!head) return Fail(streams, head.error());
  if (given.operands().size() > 1) {
    const expected<config_entry> entry = config.Find(*head, given.operands()[1]);
    if (!entry) return Fail(streams, entry.error());
    Print(EntryAsJson(*entry), as_json, streams.out);
    return exit_code::kDone;
  }
  const auto services = config.Services(*head);
  if (!services) return Fail(streams, services.error());
  json list = json::array();
  for (const auto& [name, entry] : *services) {
    list.push_back({{"service", name},
                    {"changed_in", entry.changed_in.value()},
                    {"changed_by", entry.changed_by},
                    {"changed_at", FormatTime(entry.changed_at)}});
  }
  Print(json{{"generation", head->number.value()}, {"services", std::move(list)}}, as_json,
        streams.out);
  return exit_code::kDone;
}

exit_code config_command::Compare(stored_config& config, const arguments& given, bool as_json,
                                  command_streams streams) const {
  if (given.operands().size() != 3) {
    return Fail(streams, {error_code::kInvalid, "expected: config diff FROM TO"});
  }
  const expected<config_head> from = HeadNamed(config, given.operands()[1]);
  if (!from) return Fail(streams, from.error());
  const expected<config_head> to = HeadNamed(config, given.operands()[2]);
  if (!to) return Fail(streams, to.error());
  const auto changes = config.Difference(*from, *to);
  if (!changes) return Fail(streams, changes.error());
  const expected<publish_result> described = DescribeChanges(config, *from, *changes);
  if (!described) return Fail(streams, described.error());
  streams.out << (as_json ? ResultAsJson(*described, 0) : ChangesAsText(*described));
  return exit_code::kDone;
}

exit_code config_command::Prune(blocking_object_store& store, stored_config& config,
                                const arguments& given, bool as_json,
                                command_streams streams) const {
  const expected<std::uint64_t> keep = NumberOption(given, "keep", kDefaultKeep);
  if (!keep) return Fail(streams, keep.error());
  if (*keep == 0) return Fail(streams, {error_code::kInvalid, "--keep: at least 1"});
  const expected<prune_report> report =
      config_pruner(store, config).Run(*keep, given.Has("dry-run"));
  if (!report) return Fail(streams, report.error());
  Print(json{{"generations_kept", report->generations_kept},
             {"parts_kept", report->parts_kept},
             {"unneeded", report->unneeded.size()},
             {"removed", report->removed}},
        as_json, streams.out);
  return exit_code::kDone;
}

exit_code config_command::RollBack(stored_config& config, const arguments& given, bool as_json,
                                   command_streams streams) const {
  if (given.operands().size() < 2) {
    return Fail(streams,
                {error_code::kInvalid, "expected: config rollback GENERATION [SERVICE]..."});
  }
  const expected<config_head> target = HeadNamed(config, given.operands()[1]);
  if (!target) return Fail(streams, target.error());
  const expected<config_head> newest = config.Newest();
  if (!newest) return Fail(streams, newest.error());
  auto changes = config.Difference(*newest, *target);
  if (!changes) return Fail(streams, changes.error());
  const std::vector<std::string> only(given.operands().begin() + 2, given.operands().end());
  const auto is_left_out = [&only](const service_change& change) {
    return !only.empty() && std::find(only.begin(), only.end(), change.name) == only.end();
  };
  changes->erase(std::remove_if(changes->begin(), changes->end(), is_left_out), changes->end());

  expected<publish_request> request = RequestFromOptions(given);
  if (!request) return Fail(streams, request.error());
  request->changes = std::move(*changes);
  if (!request->base) request->base = newest->number;
  if (request->note.empty()) request->note = "rollback to generation " + given.operands()[1];
  return PublishAndWait(std::move(*request), given, as_json, streams);
}

}  // namespace hawthorndrum
