/// Picking a request's lines and their surroundings.
#include "log_story.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace hawthorndrum {
namespace {

using json = nlohmann::ordered_json;

/** What changed earlier than this before a request hardly bears on it. */
constexpr double kBeforeSeconds = 10;
constexpr double kAfterSeconds = 1;

std::string TextOf(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string FieldsOf(const json& object) {
  static const std::set<std::string> kShownApart = {"at", "mono_ms", "host", "event", "request"};
  std::string text;
  for (const auto& [name, value] : object.items()) {
    if (kShownApart.count(name) != 0) continue;
    text += (text.empty() ? "" : " ") + name + "=";
    text += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return text;
}

}  // namespace

void log_story::Read(std::istream& lines) {
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
    entry.host = TextOf(object, "host");
    entry.event = TextOf(object, "event");
    entry.request = TextOf(object, "request");
    entry.upstream = TextOf(object, "upstream");
    entry.text = FieldsOf(object);
    entries_.push_back(std::move(entry));
  }
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const log_entry& a, const log_entry& b) { return a.at < b.at; });
}

std::vector<log_entry> log_story::Of(const std::string& request) const {
  std::set<std::string> hosts;
  std::set<std::string> upstreams;
  double first = 0;
  double last = 0;
  for (const log_entry& each : entries_) {
    if (each.request != request) continue;
    if (hosts.empty()) first = each.at;
    last = each.at;
    hosts.insert(each.host);
    if (!each.upstream.empty()) upstreams.insert(each.upstream);
  }
  std::vector<log_entry> story;
  for (const log_entry& each : entries_) {
    const bool own = each.request == request;
    const bool near = each.at >= first - kBeforeSeconds && each.at <= last + kAfterSeconds;
    const bool bears = each.request.empty() && hosts.count(each.host) != 0 &&
                       (each.upstream.empty() || upstreams.count(each.upstream) != 0);
    if (own || (near && bears)) story.push_back(each);
  }
  return hosts.empty() ? std::vector<log_entry>() : story;
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
