/// Summarises the reports of several sections.
#include "status_text.h"

#include <nlohmann/json.hpp>

#include "json_text.h"
#include "publish_text.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

/** The member with this key, or null if there is none. */
json Member(const json& object, const char* key) {
  if (!object.is_object()) return json();
  const auto found = object.find(key);
  return found == object.end() ? json() : *found;
}

std::string Text(const json& value) {
  if (value.is_null()) return "?";
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::size_t CountWhere(const json& list, const char* key, const json& value) {
  std::size_t count = 0;
  if (!list.is_array()) return 0;
  for (const json& item : list) {
    if (Member(item, key) == value) count += 1;
  }
  return count;
}

std::string ConfigLines(const json& config) {
  const json published = Member(config, "published");
  const json time = Member(published, "time");
  std::string text = "configuration  generation " + Text(Member(config, "generation")) +
                     ", lowest in force " + Text(Member(config, "lowest")) + ", " +
                     Text(Member(config, "services")) + " services, published by " +
                     Text(Member(published, "author")) + " at " +
                     (time.is_number_integer() ? FormatTime(time.get<std::int64_t>()) : "?") + "\n";
  const json data_centres = Member(config, "data_centres");
  if (!data_centres.is_array()) return text;
  for (const json& entry : data_centres) {
    text += "  " + Text(Member(entry, "data_centre")) + ": " + Text(Member(entry, "daemons")) +
            " daemons, lowest " + Text(Member(entry, "lowest"));
    const json age = Member(entry, "heard_ms_ago");
    if (!age.is_null()) text += ", heard " + Text(age) + " ms ago";
    const json lagging = Member(entry, "lagging");
    for (std::size_t i = 0; lagging.is_array() && i < lagging.size(); ++i) {
      text += (i == 0 ? "; lagging: " : ", ") + Text(Member(lagging[i], "address")) + " (" +
              Text(Member(lagging[i], "generation")) + ")";
    }
    text += "\n";
  }
  return text;
}

std::string PeersLine(const json& report) {
  const json peers = Member(report, "peers");
  const std::size_t all = peers.is_array() ? peers.size() : 0;
  return "peers          " + std::to_string(all) + " known, " +
         std::to_string(CountWhere(peers, "state", "alive")) + " alive, " +
         std::to_string(CountWhere(peers, "linked", true)) + " linked, " +
         std::to_string(CountWhere(peers, "state", "suspect")) + " suspect\n";
}

std::string LeaseLine(const json& lease) {
  return "lease          data centre " + Text(Member(lease, "data_centre")) + ", term " +
         Text(Member(lease, "term")) + ", held here: " + Text(Member(lease, "held_here")) + "\n";
}

std::string ListLine(const json& report, const char* key, const char* title) {
  const json list = Member(report, key);
  const std::size_t count = list.is_array() ? list.size() : 0;
  std::string text = std::string(title) + std::to_string(count) + "\n";
  if (count == 0) return text;
  return text + JsonAsText(list);
}

}  // namespace

std::string StatusAsText(const json& sections) {
  std::string text;
  for (const auto& [name, report] : sections.items()) {
    const json problem = Member(report, "problem");
    if (!problem.is_null()) text += "! " + name + ": " + Text(problem) + "\n";
  }
  text += ConfigLines(Member(sections, "config"));
  text += PeersLine(Member(sections, "peers"));
  text += LeaseLine(Member(sections, "leases"));
  text += ListLine(Member(sections, "orders"), "changes", "engine changes ");
  text += ListLine(Member(sections, "claims"), "open_seen", "open claims    ");
  text += ListLine(Member(sections, "poison"), "fingerprints", "quarantined    ");
  text += ListLine(Member(sections, "upstreams"), "upstreams", "upstreams      ");
  return text;
}

}  // namespace hawthorndrum
