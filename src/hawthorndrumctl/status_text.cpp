/// Reports of several sections, boiled down.
#include "status_text.h"

#include <nlohmann/json.hpp>

#include "json_text.h"
#include "publish_text.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

/** The member, or null when the path leads nowhere. */
json At(const json& object, const char* key) {
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
    if (At(item, key) == value) count += 1;
  }
  return count;
}

std::string ConfigLines(const json& config) {
  const json published = At(config, "published");
  const json time = At(published, "time");
  std::string text = "configuration  generation " + Text(At(config, "generation")) +
                     ", lowest in force " + Text(At(config, "lowest")) + ", " +
                     Text(At(config, "services")) + " services, published by " +
                     Text(At(published, "author")) + " at " +
                     (time.is_number_integer() ? FormatTime(time.get<std::int64_t>()) : "?") + "\n";
  const json data_centres = At(config, "data_centres");
  if (!data_centres.is_array()) return text;
  for (const json& entry : data_centres) {
    text += "  " + Text(At(entry, "data_centre")) + ": " + Text(At(entry, "daemons")) +
            " daemons, lowest " + Text(At(entry, "lowest"));
    const json heard = At(entry, "heard_ms_ago");
    if (!heard.is_null()) text += ", heard " + Text(heard) + " ms ago";
    const json lagging = At(entry, "lagging");
    for (std::size_t i = 0; lagging.is_array() && i < lagging.size(); ++i) {
      text += (i == 0 ? "; lagging: " : ", ") + Text(At(lagging[i], "address")) + " (" +
              Text(At(lagging[i], "generation")) + ")";
    }
    text += "\n";
  }
  return text;
}

std::string PeersLine(const json& report) {
  const json peers = At(report, "peers");
  const std::size_t all = peers.is_array() ? peers.size() : 0;
  return "peers          " + std::to_string(all) + " known, " +
         std::to_string(CountWhere(peers, "state", "alive")) + " alive, " +
         std::to_string(CountWhere(peers, "linked", true)) + " linked, " +
         std::to_string(CountWhere(peers, "state", "suspect")) + " suspect\n";
}

std::string LeaseLine(const json& lease) {
  return "lease          data centre " + Text(At(lease, "data_centre")) + ", term " +
         Text(At(lease, "term")) + ", held here: " + Text(At(lease, "held_here")) + "\n";
}

std::string ListLine(const json& report, const char* key, const char* title) {
  const json list = At(report, key);
  const std::size_t count = list.is_array() ? list.size() : 0;
  std::string text = std::string(title) + std::to_string(count) + "\n";
  if (count == 0) return text;
  return text + JsonAsText(list);
}

}  // namespace

std::string StatusAsText(const json& sections) {
  std::string text;
  for (const auto& [name, report] : sections.items()) {
    const json problem = At(report, "problem");
    if (!problem.is_null()) text += "! " + name + ": " + Text(problem) + "\n";
  }
  text += ConfigLines(At(sections, "config"));
  text += PeersLine(At(sections, "peers"));
  text += LeaseLine(At(sections, "leases"));
  text += ListLine(At(sections, "orders"), "changes", "engine changes ");
  text += ListLine(At(sections, "claims"), "open_seen", "open claims    ");
  text += ListLine(At(sections, "poison"), "fingerprints", "quarantined    ");
  text += ListLine(At(sections, "upstreams"), "upstreams", "upstreams      ");
  return text;
}

}  // namespace hawthorndrum
