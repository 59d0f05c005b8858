/// JSON form of a configuration's parts. Fields with the stored form's default value are not
/// stored. These defaults are fixed here and independent of the defaults in service files.
#include "systems/config_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "systems/service_file_reader.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxAuthorBytes = 128;
constexpr std::size_t kMaxNoteBytes = 512;
constexpr std::size_t kMaxServicesNamed = 16;

error Invalid(std::string_view what) {
  return {error_code::kInvalid, "stored configuration: " + std::string(what)};
}

/** Reads members of a JSON object; valid() becomes false when a member has the wrong type. */
class json_reader {
 public:
  explicit json_reader(const json& object) : object_(object), valid_(object.is_object()) {}

  bool valid() const { return valid_; }

  void Read(const char* key, std::string& target) {
    const json* member = Find(key);
    if (member == nullptr) return;
    if (!member->is_string()) return Fail();
    target = member->get_ref<const std::string&>();
  }

  void Read(const char* key, bool& target) {
    const json* member = Find(key);
    if (member == nullptr) return;
    if (!member->is_boolean()) return Fail();
    target = member->get<bool>();
  }

  void Read(const char* key, double& target) {
    const json* member = Find(key);
    if (member == nullptr) return;
    if (!member->is_number()) return Fail();
    target = member->get<double>();
  }

  template <typename Integer>
  void ReadInteger(const char* key, Integer& target) {
    const json* member = Find(key);
    if (member == nullptr) return;
    if (!member->is_number_integer()) return Fail();
    target = member->get<Integer>();
  }

  void Read(const char* key, duration& target) {
    duration::rep count = target.count();
    ReadInteger(key, count);
    target = duration(count);
  }

  const json* Find(const char* key) const {
    if (!valid_) return nullptr;
    const auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
  }

  void Fail() { valid_ = false; }

 private:
  const json& object_;
  bool valid_;
};

/** The values that the stored form omits. They are part of that form and must never change. */
service_config StoredDefaults() {
  service_config config;
  config.kind = service_kind::kModel;
  config.repeatable = true;
  config.key_required = true;
  config.priority = 5;
  config.useful_within = seconds(10);
  config.longest_deadline = seconds(60);
  config.limits = {256, 1000, 200, 256, 4096};
  config.spill = false;
  return config;
}

json ServiceToJson(const service_config& config) {
  return json{{"service", config.name},
              {"team", config.team},
              {"kind", config.kind == service_kind::kPlain ? "plain" : "model"},
              {"model", config.model.name},
              {"version", config.model.version},
              {"adapter", config.model.adapter},
              {"pool", config.pool},
              {"repeatable", config.repeatable},
              {"key_required", config.key_required},
              {"priority", config.priority},
              {"useful_within_us", config.useful_within.count()},
              {"longest_deadline_us", config.longest_deadline.count()},
              {"concurrency", config.limits.concurrency},
              {"requests_per_second", config.limits.requests_per_second},
              {"burst", config.limits.burst},
              {"queue_length", config.limits.queue_length},
              {"max_tokens", config.limits.max_tokens},
              {"lookup", config.lookup_path},
              {"spill", config.spill}};
}

const json& StoredDefaultsAsJson() {
  static const json kDefaults = ServiceToJson(StoredDefaults());
  return kDefaults;
}

service_config ServiceFromJson(json_reader& reader) {
  service_config config = StoredDefaults();
  std::string kind = "model";
  reader.Read("service", config.name);
  config.team = config.name;
  reader.Read("team", config.team);
  reader.Read("kind", kind);
  config.kind = kind == "plain" ? service_kind::kPlain : service_kind::kModel;
  reader.Read("model", config.model.name);
  reader.Read("version", config.model.version);
  reader.Read("adapter", config.model.adapter);
  reader.Read("pool", config.pool);
  reader.Read("repeatable", config.repeatable);
  reader.Read("key_required", config.key_required);
  reader.ReadInteger("priority", config.priority);
  reader.Read("useful_within_us", config.useful_within);
  reader.Read("longest_deadline_us", config.longest_deadline);
  reader.ReadInteger("concurrency", config.limits.concurrency);
  reader.Read("requests_per_second", config.limits.requests_per_second);
  reader.ReadInteger("burst", config.limits.burst);
  reader.ReadInteger("queue_length", config.limits.queue_length);
  reader.ReadInteger("max_tokens", config.limits.max_tokens);
  reader.Read("lookup", config.lookup_path);
  reader.Read("spill", config.spill);
  if (!IsServiceName(config.name) || (kind != "plain" && kind != "model")) reader.Fail();
  return config;
}

json EntryToJson(const config_entry& entry) {
  json stored = json::object();
  if (entry.removed) {
    stored = {{"service", entry.config.name}, {"removed", true}};
  } else {
    const json all_fields = ServiceToJson(entry.config);
    for (const auto& [key, value] : all_fields.items()) {
      if (StoredDefaultsAsJson()[key] != value) stored[key] = value;
    }
    if (entry.config.team == entry.config.name) stored.erase("team");
  }
  stored["in"] = entry.changed_in.value();
  stored["by"] = entry.changed_by;
  stored["at"] = entry.changed_at;
  return stored;
}

bool EntryFromJson(const json& stored, config_entry& entry) {
  json_reader reader(stored);
  entry.config = ServiceFromJson(reader);
  reader.Read("removed", entry.removed);
  std::uint64_t changed_in = 0;
  reader.ReadInteger("in", changed_in);
  entry.changed_in = generation(changed_in);
  reader.Read("by", entry.changed_by);
  reader.ReadInteger("at", entry.changed_at);
  return reader.valid();
}

json DigestsToJson(const std::vector<content_digest>& digests) {
  json list = json::array();
  for (const content_digest& digest : digests) {
    list.push_back(digest.empty() ? std::string() : digest.ToHex());
  }
  return list;
}

bool DigestsFromJson(const json* list, std::size_t expected_count,
                     std::vector<content_digest>& digests) {
  if (list == nullptr || !list->is_array() || list->size() != expected_count) return false;
  digests.assign(expected_count, {});
  for (std::size_t i = 0; i < expected_count; ++i) {
    const json& item = (*list)[i];
    if (!item.is_string()) return false;
    const std::string& hex = item.get_ref<const std::string&>();
    if (!hex.empty() && !content_digest::FromHex(hex, digests[i])) return false;
  }
  return true;
}

bool ReadNames(const json* list, std::vector<std::string>& names) {
  if (list == nullptr || !list->is_array() || list->size() > kMaxServicesNamed) return false;
  for (const json& item : *list) {
    if (!item.is_string()) return false;
    names.push_back(item.get<std::string>());
  }
  return true;
}

json Parse(std::string_view text) {
  if (text.size() > kMaxPartBytes) return json(json::value_t::discarded);
  return json::parse(text.begin(), text.end(), nullptr, false);
}

std::string ValueText(const json& value) {
  return value.is_string() && value.get_ref<const std::string&>().empty() ? "none" : value.dump();
}

/**
 * Formats JSON with invalid UTF-8 replaced: author names and notes come from people and the
 * environment, and truncating them may split a character.
 */
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::size_t LeafOf(std::string_view service) { return Hash64(service) % kConfigLeaves; }

std::string PartKey(const content_digest& digest) {
  return std::string(kConfigPartPrefix) + digest.ToHex();
}

std::string HistoryKey(generation number) {
  std::string digits = std::to_string(number.value());
  constexpr std::size_t kWidth = 12;
  if (digits.size() < kWidth) digits.insert(0, kWidth - digits.size(), '0');
  return std::string(kConfigHistoryPrefix) + digits;
}

std::string EncodeHead(const config_head& head) {
  const std::string text =
      Dump(json{{"generation", head.number.value()},
                {"publish_id", head.published.publish_id},
                {"author", head.published.author.substr(0, kMaxAuthorBytes)},
                {"note", head.published.note.substr(0, kMaxNoteBytes)},
                {"time", head.published.time},
                {"changes", head.published.changes},
                {"services", std::vector<std::string>(
                                 head.published.services.begin(),
                                 head.published.services.begin() +
                                     static_cast<std::ptrdiff_t>(std::min(
                                         kMaxServicesNamed, head.published.services.size())))},
                {"pages", DigestsToJson(head.pages)}});
  return text + "\n" + content_digest::Of(text).ToHex();
}

expected<config_head> DecodeHead(std::string_view text) {
  const std::size_t end = text.rfind('\n');
  const std::string_view body = text.substr(0, end);
  const bool intact =
      end != std::string_view::npos && text.substr(end + 1) == content_digest::Of(body).ToHex();
  if (!intact) return tl::make_unexpected(Invalid("the head is damaged"));
  const json stored = Parse(body);
  json_reader reader(stored);
  config_head head;
  std::uint64_t number = 0;
  reader.ReadInteger("generation", number);
  head.number = generation(number);
  reader.ReadInteger("publish_id", head.published.publish_id);
  reader.Read("author", head.published.author);
  reader.Read("note", head.published.note);
  reader.ReadInteger("time", head.published.time);
  reader.ReadInteger("changes", head.published.changes);
  if (!reader.valid() || number == 0) return tl::make_unexpected(Invalid("the head is malformed"));
  if (!ReadNames(reader.Find("services"), head.published.services)) {
    return tl::make_unexpected(Invalid("the head's list of services is malformed"));
  }
  if (!DigestsFromJson(reader.Find("pages"), kConfigPages, head.pages)) {
    return tl::make_unexpected(Invalid("the head's list of pages is malformed"));
  }
  return head;
}

std::string EncodePage(const config_page& page) { return Dump(DigestsToJson(page)); }

expected<config_page> DecodePage(std::string_view text) {
  const json stored = Parse(text);
  config_page page;
  if (!DigestsFromJson(&stored, kLeavesPerPage, page)) {
    return tl::make_unexpected(Invalid("a page is malformed"));
  }
  return page;
}

std::string EncodeLeaf(const std::vector<config_entry>& entries) {
  json list = json::array();
  for (const config_entry& entry : entries) list.push_back(EntryToJson(entry));
  return Dump(list);
}

expected<std::vector<config_entry>> DecodeLeaf(std::string_view text, std::size_t leaf) {
  const json stored = Parse(text);
  if (!stored.is_array()) return tl::make_unexpected(Invalid("a leaf is malformed"));
  std::vector<config_entry> entries;
  entries.reserve(stored.size());
  for (const json& item : stored) {
    config_entry entry;
    if (!EntryFromJson(item, entry)) return tl::make_unexpected(Invalid("a malformed entry"));
    if (LeafOf(entry.config.name) != leaf) return tl::make_unexpected(Invalid("misplaced entry"));
    if (!entries.empty() && !(entries.back().config.name < entry.config.name)) {
      return tl::make_unexpected(Invalid("the entries of a leaf are not sorted"));
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

std::string EncodeService(const service_config& config) { return Dump(ServiceToJson(config)); }

std::vector<std::string> DescribeDifference(const service_config& before,
                                            const service_config& after) {
  const json old_values = ServiceToJson(before);
  const json new_values = ServiceToJson(after);
  std::vector<std::string> lines;
  for (const auto& [key, value] : new_values.items()) {
    if (old_values[key] == value) continue;
    lines.push_back(key + ": " + ValueText(old_values[key]) + " -> " + ValueText(value));
  }
  return lines;
}

bool SameService(const service_config& a, const service_config& b) {
  return ServiceToJson(a) == ServiceToJson(b);
}

}  // namespace hawthorndrum
