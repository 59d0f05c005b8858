/// Reads generations from the store, and publishes rollbacks.
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

expected<config_head> ReadHead(stored_config& config, const std::string& text) {
  const expected<generation> number = ParseGeneration(text);
  if (!number) return tl::make_unexpected(number.error());
  return config.Head(*number);
}

json HeadAsJson(const config_head& head) {
  return json{{"generation", head.number.value()}, {"time", FormatTime(head.published.time)},
              {"author", head.published.author},   {"note", head.published.note},
              {"changes", head.published.changes}, {"services", head.published.services}};
}

json EntryAsJson(const config_entry& entry) {
  return json{{"service", json::parse(EncodeService(entry.config), nullptr, false)},
              {"changed_in", entry.changed_in.value()},
              {"changed_by", entry.changed_by},
              {"changed_at", FormatTime(entry.changed_at)}};
}

void Print(const json& report, bool as_json, std::ostream& out) {
  out << (as_json ? PrettyPrintJson(report) : JsonAsText(report));
}

/** Converts the changes to a publishing result, so that both are printed in the same format. */
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
         "show      the services in force, or all fields of one service\n"
         "diff      what changed between two generations\n"
         "rollback  publishes an earlier generation's services again, as a new generation;\n"
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

exit_code config_command::Run(const arguments& args, command_streams streams) const {
  const expected<bool> as_json = WantsJson(args);
  if (!as_json) return Fail(streams, as_json.error());
  if (args.Value("store").empty()) {
    return Fail(streams,
                {error_code::kInvalid, "--store is required: the address of the object API"});
  }
  blocking_object_store store(http_endpoint{args.Value("store"), {}});
  stored_config config(store);
  const std::string verb = args.operands().empty() ? "" : args.operands().front();
  if (verb == "history") return History(config, args, *as_json, streams);
  if (verb == "show") return Show(config, args, *as_json, streams);
  if (verb == "diff") return Compare(config, args, *as_json, streams);
  if (verb == "rollback") return RollBack(config, args, *as_json, streams);
  if (verb == "prune") return Prune(store, config, args, *as_json, streams);
  return Fail(streams, {error_code::kInvalid, "expected: config " + std::string(operands())});
}

exit_code config_command::History(stored_config& config, const arguments& args, bool as_json,
                                  command_streams streams) const {
  const expected<std::uint64_t> count = NumberOption(args, "count", kDefaultHistory);
  if (!count) return Fail(streams, count.error());
  const expected<config_head> newest = config.Newest();
  if (!newest) return Fail(streams, newest.error());
  json list = json::array();
  list.push_back(HeadAsJson(*newest));
  const std::uint64_t number = newest->number.value();
  for (std::uint64_t offset = 1; offset < std::min(*count, number); ++offset) {
    const expected<config_head> head = config.Head(generation(number - offset));
    if (head) list.push_back(HeadAsJson(*head));
    if (!head && head.error().code != error_code::kNotFound) return Fail(streams, head.error());
  }
  Print(list, as_json, streams.out);
  return exit_code::kDone;
}

exit_code config_command::Show(stored_config& config, const arguments& args, bool as_json,
                               command_streams streams) const {
  const expected<config_head> head = config.Newest();
  if (!head) return Fail(streams, head.error());
  if (args.operands().size() > 1) {
    const expected<config_entry> entry = config.Find(*head, args.operands()[1]);
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

exit_code config_command::Compare(stored_config& config, const arguments& args, bool as_json,
                                  command_streams streams) const {
  if (args.operands().size() != 3) {
    return Fail(streams, {error_code::kInvalid, "expected: config diff FROM TO"});
  }
  const expected<config_head> from = ReadHead(config, args.operands()[1]);
  if (!from) return Fail(streams, from.error());
  const expected<config_head> to = ReadHead(config, args.operands()[2]);
  if (!to) return Fail(streams, to.error());
  const auto changes = config.Difference(*from, *to);
  if (!changes) return Fail(streams, changes.error());
  const expected<publish_result> described = DescribeChanges(config, *from, *changes);
  if (!described) return Fail(streams, described.error());
  streams.out << (as_json ? ResultAsJson(*described, 0) : ChangesAsText(*described));
  return exit_code::kDone;
}

exit_code config_command::Prune(blocking_object_store& store, stored_config& config,
                                const arguments& args, bool as_json,
                                command_streams streams) const {
  const expected<std::uint64_t> keep = NumberOption(args, "keep", kDefaultKeep);
  if (!keep) return Fail(streams, keep.error());
  if (*keep == 0) return Fail(streams, {error_code::kInvalid, "--keep: must be at least 1"});
  const expected<prune_report> report =
      config_pruner(store, config).Run(*keep, args.Has("dry-run"));
  if (!report) return Fail(streams, report.error());
  Print(json{{"generations_kept", report->generations_kept},
             {"parts_kept", report->parts_kept},
             {"unneeded", report->unneeded.size()},
             {"removed", report->removed}},
        as_json, streams.out);
  return exit_code::kDone;
}

exit_code config_command::RollBack(stored_config& config, const arguments& args, bool as_json,
                                   command_streams streams) const {
  if (args.operands().size() < 2) {
    return Fail(streams,
                {error_code::kInvalid, "expected: config rollback GENERATION [SERVICE]..."});
  }
  const expected<config_head> target = ReadHead(config, args.operands()[1]);
  if (!target) return Fail(streams, target.error());
  const expected<config_head> newest = config.Newest();
  if (!newest) return Fail(streams, newest.error());
  auto changes = config.Difference(*newest, *target);
  if (!changes) return Fail(streams, changes.error());
  const std::vector<std::string> only(args.operands().begin() + 2, args.operands().end());
  const auto is_excluded = [&only](const service_change& change) {
    return !only.empty() && std::find(only.begin(), only.end(), change.name) == only.end();
  };
  changes->erase(std::remove_if(changes->begin(), changes->end(), is_excluded), changes->end());

  expected<publish_request> request = RequestFromOptions(args);
  if (!request) return Fail(streams, request.error());
  request->changes = std::move(*changes);
  if (!request->base) request->base = newest->number;
  if (request->note.empty()) request->note = "rollback to generation " + args.operands()[1];
  return PublishAndWait(std::move(*request), args, as_json, streams);
}

}  // namespace hawthorndrum
