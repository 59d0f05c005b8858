/// Reads and checks service files in YAML.
#include "systems/service_file_reader.h"

#include <algorithm>
#include <map>

#include "base/quantity.h"
#include "base/yaml_fields.h"
#include "base/yaml_parser.h"

namespace hawthorndrum {
namespace {

constexpr std::string_view kNameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-";
constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxTextLength = 200;
constexpr duration kMinTime = milliseconds(1);
constexpr duration kMaxTime = std::chrono::hours(24);
constexpr int kMaxPriority = 9;
constexpr std::uint32_t kMaxCount = 1'000'000;

/** Reads one service and adds its findings to `found`. */
class service_reader {
 public:
  service_reader(const yaml_node& node, findings& found) : fields_(node, found), found_(found) {}

  service_config Read() {
    if (!fields_.valid()) return config_;
    ReadNames();
    ReadUpstreams();
    ReadIdempotency();
    ReadTimes();
    ReadLimits();
    fields_.ReportUnknown();
    return config_;
  }

 private:
  void ReadNames() {
    fields_.Require("service", "the name in its URL, for example \"stock-checks\"");
    if (fields_.Text("service", config_.name) && !IsServiceName(config_.name)) {
      found_.Add(fields_.LocationOf("service"),
                 "service: use small letters, digits and dashes, 63 at most");
    }
    config_.team = config_.name;
    ReadShortText("team", config_.team);
  }

  bool ReadShortText(std::string_view key, std::string& target) {
    if (!fields_.Text(key, target)) return false;
    if (target.size() <= kMaxTextLength) return true;
    found_.Add(fields_.LocationOf(key), std::string(key) + ": longer than 200 characters");
    return false;
  }

  void ReadUpstreams() {
    const bool model = fields_.Has("model");
    const bool pool = fields_.Has("pool");
    if (model == pool && fields_.valid()) {
      found_.Add(fields_.LocationOf(model ? "pool" : "service"),
                 model ? "a service has a model or a pool, not both" : "the upstreams are missing",
                 "model: NAME@VERSION for engines, pool: NAME for a plain service");
    }
    config_.kind = pool && !model ? service_kind::kPlain : service_kind::kModel;
    ReadShortText("pool", config_.pool);
    if (const yaml_node* node = fields_.Child("model")) ReadModel(*node);
    fields_.Flag("spill", config_.spill);
  }

  void ReadModel(const yaml_node& node) {
    if (node.kind == yaml_kind::kScalar) {
      SplitModel(node);
      return;
    }
    yaml_fields fields(node, found_);
    if (!fields.valid()) return;
    fields.Text("name", config_.model.name);
    fields.Text("version", config_.model.version);
    fields.Text("adapter", config_.model.adapter);
    fields.Require("name", "the model's name");
    fields.Require("version", "the model's version");
    fields.ReportUnknown();
    CheckModelTexts(node);
  }

  void SplitModel(const yaml_node& node) {
    const std::size_t at = node.text.find('@');
    config_.model.name = node.text.substr(0, at);
    if (at != std::string::npos) config_.model.version = node.text.substr(at + 1);
    if (config_.model.name.empty() || config_.model.version.empty()) {
      found_.Add(node.where, "model: expected NAME@VERSION", "for example oak-7b@3");
    }
    CheckModelTexts(node);
  }

  void CheckModelTexts(const yaml_node& node) {
    const model_use& model = config_.model;
    const std::size_t longest =
        std::max({model.name.size(), model.version.size(), model.adapter.size()});
    if (longest > kMaxTextLength) found_.Add(node.where, "model: longer than 200 characters");
  }

  void ReadIdempotency() {
    fields_.Flag("repeatable", config_.repeatable);
    std::size_t choice = 0;
    if (fields_.Choice("idempotency_key", {"required", "optional"}, choice)) {
      config_.key_required = choice == 0;
      AddFindingIf("idempotency_key", config_.repeatable,
                   "belongs to a service with repeatable: false");
    }
    if (!ReadShortText("lookup", config_.lookup_path)) return;
    AddFindingIf("lookup", config_.lookup_path.front() != '/',
                 "expected a path that starts with /");
    AddFindingIf("lookup", config_.kind != service_kind::kPlain,
                 "belongs to a service with a pool");
    AddFindingIf("lookup", config_.repeatable, "belongs to a service with repeatable: false");
  }

  void AddFindingIf(std::string_view key, bool invalid, std::string_view message) {
    if (!invalid) return;
    found_.Add(fields_.LocationOf(key), std::string(key) + ": " + std::string(message));
  }

  void ReadTimes() {
    std::uint32_t priority = static_cast<std::uint32_t>(config_.priority);
    fields_.Whole("priority", priority, 0, kMaxPriority);
    config_.priority = static_cast<int>(priority);
    fields_.Duration("useful_within", config_.useful_within, kMinTime, kMaxTime);
    config_.longest_deadline = std::max(config_.longest_deadline, config_.useful_within);
    fields_.Duration("longest_deadline", config_.longest_deadline, kMinTime, kMaxTime);
    AddFindingIf("longest_deadline", config_.longest_deadline < config_.useful_within,
                 "must not be below useful_within, " + FormatDuration(config_.useful_within));
  }

  void ReadLimits() {
    const yaml_node* node = fields_.Child("limits");
    if (node == nullptr) return;
    yaml_fields fields(*node, found_);
    if (!fields.valid()) return;
    service_limits& limits = config_.limits;
    fields.Whole("concurrency", limits.concurrency, 1, kMaxCount);
    fields.Number("requests_per_second", limits.requests_per_second, 0.001, kMaxCount);
    fields.Whole("burst", limits.burst, 1, kMaxCount);
    fields.Whole("queue_length", limits.queue_length, 0, kMaxCount);
    fields.Whole("max_tokens", limits.max_tokens, 1, kMaxCount);
    fields.ReportUnknown();
  }

  yaml_fields fields_;
  findings& found_;
  service_config config_;
};

void ReadService(const yaml_node& node, findings& found,
                 std::vector<service_definition>& services) {
  findings service_findings;
  service_config config = service_reader(node, service_findings).Read();
  found.Append(service_findings);
  if (service_findings.empty()) services.push_back({std::move(config), node.where});
}

}  // namespace

bool IsServiceName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength) return false;
  const bool starts_with_letter = name.front() >= 'a' && name.front() <= 'z';
  return starts_with_letter && name.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

std::vector<service_definition> ReadServiceFile(const std::string& file, std::string_view text,
                                                findings& found) {
  std::vector<service_definition> services;
  findings parsing;
  const yaml_node root = ParseYaml(file, text, parsing);
  found.Append(parsing);
  if (!parsing.empty()) return services;
  if (root.kind != yaml_kind::kList) {
    ReadService(root, found, services);
    return services;
  }
  for (const yaml_node& item : root.items) ReadService(item, found, services);
  return services;
}

void CheckDuplicateServices(const std::vector<service_definition>& services, findings& found) {
  std::map<std::string_view, const source_location*> first;
  for (const service_definition& service : services) {
    const auto [seen, added] = first.try_emplace(service.config.name, &service.where);
    if (added) continue;
    found.Add(service.where, "service \"" + service.config.name + "\" is stated twice",
              "first in " + seen->second->file + ":" + std::to_string(seen->second->line));
  }
}

}  // namespace hawthorndrum
