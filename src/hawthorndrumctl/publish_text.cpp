/// Formats the results of publishing as text and JSON.
#include "publish_text.h"

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

std::string_view Name(publish_status status) {
  switch (status) {
    case publish_status::kRunning:
      return "running";
    case publish_status::kPublished:
      return "published";
    case publish_status::kUnchanged:
      return "unchanged";
    case publish_status::kPlanned:
      return "planned";
    case publish_status::kConflict:
      return "conflict";
    case publish_status::kGivenUp:
      return "given_up";
    case publish_status::kRejected:
      return "rejected";
    case publish_status::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view Name(change_kind kind) {
  switch (kind) {
    case change_kind::kAdded:
      return "added";
    case change_kind::kChanged:
      return "changed";
    case change_kind::kRemoved:
      return "removed";
  }
  return "changed";
}

std::string ConflictText(const publish_conflict& conflict) {
  std::string text = conflict.service + ": " + (conflict.removed ? "removed" : "changed") + " by " +
                     conflict.changed_by + " at " + FormatTime(conflict.changed_at) +
                     " in generation " + std::to_string(conflict.changed_in.value()) + "\n";
  for (const std::string& line : conflict.lines) text += "    theirs -> yours: " + line + "\n";
  return text;
}

std::string Summary(const publish_result& result, std::uint64_t publish_id) {
  const std::string number = std::to_string(result.number.value());
  switch (result.status) {
    case publish_status::kPublished:
      return "published as generation " + number;
    case publish_status::kUnchanged:
      return "nothing to change, generation " + number + " has it all";
    case publish_status::kPlanned:
      return "dry run, nothing was changed; in force is generation " + number;
    case publish_status::kUnknown:
      return result.message + "; settle it with --publish-id " + std::to_string(publish_id);
    default:
      return std::string(Name(result.status)) + ": " + result.message;
  }
}

}  // namespace

std::string FormatTime(std::int64_t time) {
  const std::time_t seconds_since_1970 = time;
  std::tm parts{};
  gmtime_r(&seconds_since_1970, &parts);
  std::array<char, 64> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S UTC", &parts);
  return {text.data(), length};
}

std::string ChangesAsText(const publish_result& result) {
  std::string text;
  for (const planned_change& change : result.changes) {
    text += std::string(Name(change.kind)) + " " + change.service + "\n";
    for (const std::string& line : change.lines) text += "    " + line + "\n";
  }
  return text;
}

std::string ResultAsText(const publish_result& result, std::uint64_t publish_id) {
  std::string text = ChangesAsText(result);
  for (const publish_conflict& conflict : result.conflicts) text += ConflictText(conflict);
  return text + Summary(result, publish_id) + "\n";
}

std::string ResultAsJson(const publish_result& result, std::uint64_t publish_id) {
  json changes = json::array();
  for (const planned_change& change : result.changes) {
    changes.push_back(
        {{"service", change.service}, {"kind", Name(change.kind)}, {"lines", change.lines}});
  }
  json conflicts = json::array();
  for (const publish_conflict& conflict : result.conflicts) {
    conflicts.push_back({{"service", conflict.service},
                         {"removed", conflict.removed},
                         {"changed_by", conflict.changed_by},
                         {"changed_at", conflict.changed_at},
                         {"changed_in", conflict.changed_in.value()},
                         {"lines", conflict.lines}});
  }
  const json report{{"status", Name(result.status)},     {"generation", result.number.value()},
                    {"publish_id", publish_id},          {"changes", std::move(changes)},
                    {"conflicts", std::move(conflicts)}, {"message", result.message}};
  return report.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace hawthorndrum
