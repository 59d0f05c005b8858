/// Selects a request's log entries and related ones.
#include "request_timeline.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace hawthorndrum {
namespace {

using json = nlohmann::ordered_json;

/** Changes earlier than this before a request are unlikely to have affected it. */
constexpr double kBeforeSeconds = 10;
constexpr double kAfterSeconds = 1;
/** What an upstream says about itself holds for longer: a time without requests for 30 s at most.
 */
constexpr double kTimeAskedSeconds = 31;
constexpr double kLeavingSeconds = 600;
/** A host may be cut off from its upstreams for long before a request is passed on. */
constexpr double kCutSeconds = 600;
/** A conviction lasts as long as requests with it come. */
constexpr double kConvictionSeconds = 24 * 3600;
constexpr std::string_view kJudgement = "suspect_judged";

double SecondsBefore(const log_entry& entry) {
  if (entry.event == "upstream_wants_nothing") return kTimeAskedSeconds;
  if (entry.event == "upstream_leaving" || entry.event == "upstream_limit") return kLeavingSeconds;
  if (entry.event == "upstreams_cut_off" || entry.event == "upstreams_reached_again")
    return kCutSeconds;
  if (entry.event == kJudgement) return kConvictionSeconds;
  return kBeforeSeconds;
}

std::string StringField(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string OtherFields(const json& object) {
  static const std::set<std::string> kSeparateFields = {"at", "mono_ms", "host", "event",
                                                        "request"};
  std::string text;
  for (const auto& [name, value] : object.items()) {
    if (kSeparateFields.count(name) != 0) continue;
    text += (text.empty() ? "" : " ") + name + "=";
    text += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return text;
}

}  // namespace

void request_timeline::Read(std::istream& lines) {
  for (std::string line; std::getline(lines, line);) {
    const std::size_t start = line.find('{');
    const json object =
        start == std::string::npos ? json() : json::parse(line.substr(start), nullptr, false);
    if (!object.is_object() || !object.contains("event")) {
      ++unreadable_;
      continue;
    }
    log_entry entry;
    const auto at = object.find("at");
    if (at != object.end() && at->is_number()) entry.at = at->get<double>();
    entry.host = StringField(object, "host");
    entry.event = StringField(object, "event");
    entry.request = StringField(object, "request");
    entry.upstream = StringField(object, "upstream");
    entry.suspect = StringField(object, "suspect");
    entry.text = OtherFields(object);
    entries_.push_back(std::move(entry));
  }
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const log_entry& a, const log_entry& b) { return a.at < b.at; });
}

std::vector<log_entry> request_timeline::EntriesFor(const std::string& request) const {
  std::set<std::string> hosts;
  std::set<std::string> upstreams;
  std::set<std::string> suspects;
  double first = 0;
  double last = 0;
  for (const log_entry& each : entries_) {
    if (each.request != request) continue;
    if (hosts.empty()) first = each.at;
    last = each.at;
    hosts.insert(each.host);
    if (!each.upstream.empty()) upstreams.insert(each.upstream);
    if (!each.suspect.empty()) suspects.insert(each.suspect);
  }
  std::vector<log_entry> timeline;
  for (const log_entry& each : entries_) {
    const bool is_own = each.request == request;
    const bool in_time_range =
        each.at >= first - SecondsBefore(each) && each.at <= last + kAfterSeconds;
    const bool is_related = each.request.empty() && hosts.count(each.host) != 0 &&
                            (each.upstream.empty() || upstreams.count(each.upstream) != 0) &&
                            (each.suspect.empty() || suspects.count(each.suspect) != 0);
    if (is_own || (in_time_range && is_related)) timeline.push_back(each);
  }
  return hosts.empty() ? std::vector<log_entry>() : timeline;
}

std::string ToText(const std::vector<log_entry>& entries) {
  std::string text;
  for (const log_entry& each : entries) {
    char time[32];
    std::snprintf(time, sizeof(time), "%+9.3f s  ", each.at - entries.front().at);
    text += time + each.host + "  " + each.event + "  " + each.text + "\n";
  }
  return text;
}

}  // namespace hawthorndrum
