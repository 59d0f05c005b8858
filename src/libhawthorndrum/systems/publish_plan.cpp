/// Compares the request with the stored configuration and builds the new parts.
#include "systems/publish_plan.h"

#include <algorithm>
#include <set>

#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kServicesNamedInHead = 8;
constexpr std::int64_t kRemovedRetentionSeconds = 30LL * 24 * 3600;

using entries = std::vector<config_entry>;

entries::iterator FindEntry(entries& list, const std::string& name) {
  return std::lower_bound(
      list.begin(), list.end(), name,
      [](const config_entry& entry, const std::string& key) { return entry.config.name < key; });
}

/** Builds one publish_plan. */
class planner {
 public:
  planner(const config_slice& present, const publish_request& request, generation base)
      : request_(request), base_(base), next_(present) {
    const std::uint64_t following = present.head.number.value() + 1;
    number_ = generation(std::max(following, request.floor.value()));
  }

  publish_plan Build() {
    for (const service_change& change : request_.changes) Apply(change);
    if (plan_.changes.empty() || !plan_.conflicts.empty()) return std::move(plan_);
    WriteLeaves();
    WritePages();
    WriteHead();
    return std::move(plan_);
  }

 private:
  void Apply(const service_change& change) {
    const std::size_t leaf = LeafOf(change.name);
    entries& list = next_.leaves[leaf];
    const auto found = FindEntry(list, change.name);
    const bool stored = found != list.end() && found->config.name == change.name;
    const config_entry* present = stored ? &*found : nullptr;
    if (IsUpToDate(present, change)) return;
    if (present != nullptr && base_ < present->changed_in) {
      plan_.conflicts.push_back(Conflict(*present, change));
      return;
    }
    plan_.changes.push_back(Describe(present, change));
    touched_leaves_.insert({leaf, change.name});
    config_entry entry = MakeEntry(change);
    if (stored) {
      *found = std::move(entry);
    } else {
      list.insert(found, std::move(entry));
    }
  }

  static bool IsUpToDate(const config_entry* present, const service_change& change) {
    const bool exists = present != nullptr && !present->removed;
    if (!change.wanted) return !exists;
    return exists && SameService(present->config, *change.wanted);
  }

  static publish_conflict Conflict(const config_entry& present, const service_change& change) {
    publish_conflict conflict;
    conflict.service = change.name;
    conflict.removed = present.removed;
    conflict.changed_by = present.changed_by;
    conflict.changed_at = present.changed_at;
    conflict.changed_in = present.changed_in;
    if (!present.removed && change.wanted) {
      conflict.lines = DescribeDifference(present.config, *change.wanted);
    }
    return conflict;
  }

  static planned_change Describe(const config_entry* present, const service_change& change) {
    planned_change described;
    described.service = change.name;
    if (!change.wanted) {
      described.kind = change_kind::kRemoved;
      return described;
    }
    if (present == nullptr || present->removed) {
      described.kind = change_kind::kAdded;
      return described;
    }
    described.lines = DescribeDifference(present->config, *change.wanted);
    return described;
  }

  config_entry MakeEntry(const service_change& change) const {
    config_entry entry;
    if (change.wanted) entry.config = *change.wanted;
    entry.config.name = change.name;
    entry.removed = !change.wanted;
    entry.changed_in = number_;
    entry.changed_by = request_.author;
    entry.changed_at = request_.time;
    return entry;
  }

  bool IsExpired(const config_entry& entry) const {
    return entry.removed && request_.time - entry.changed_at > kRemovedRetentionSeconds;
  }

  void WriteLeaves() {
    for (const auto& [leaf, service] : touched_leaves_) {
      entries& list = next_.leaves[leaf];
      list.erase(std::remove_if(list.begin(), list.end(),
                                [this](const config_entry& entry) { return IsExpired(entry); }),
                 list.end());
      std::string bytes = EncodeLeaf(list);
      if (bytes.size() > kMaxPartBytes) plan_.oversized = service;
      config_page& page = next_.pages[leaf / kLeavesPerPage];
      page.resize(kLeavesPerPage);
      page[leaf % kLeavesPerPage] = AddPart(std::move(bytes));
      touched_pages_.insert(leaf / kLeavesPerPage);
    }
  }

  void WritePages() {
    for (const std::size_t page : touched_pages_) {
      next_.head.pages[page] = AddPart(EncodePage(next_.pages[page]));
    }
  }

  void WriteHead() {
    config_head& head = next_.head;
    head.number = number_;
    head.published = publish_metadata();
    head.published.publish_id = request_.publish_id;
    head.published.author = request_.author;
    head.published.note = request_.note;
    head.published.time = request_.time;
    head.published.changes = static_cast<std::uint32_t>(plan_.changes.size());
    for (const planned_change& change : plan_.changes) {
      if (head.published.services.size() == kServicesNamedInHead) break;
      head.published.services.push_back(change.service);
    }
    plan_.head = head;
  }

  content_digest AddPart(std::string bytes) {
    const content_digest digest = content_digest::Of(bytes);
    plan_.parts.push_back({digest, std::move(bytes)});
    return digest;
  }

  const publish_request& request_;
  generation base_;
  generation number_;
  config_slice next_;
  publish_plan plan_;
  /** The leaves that change, each with the name of one of its changed services. */
  std::map<std::size_t, std::string> touched_leaves_;
  std::set<std::size_t> touched_pages_;
};

}  // namespace

publish_plan PlanPublish(const config_slice& present, const publish_request& request,
                         generation base) {
  return planner(present, request, base).Build();
}

}  // namespace hawthorndrum
