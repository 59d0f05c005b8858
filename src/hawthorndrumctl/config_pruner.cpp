/// Finds unreferenced parts and old heads, and removes them one by one.
#include "config_pruner.h"

#include <algorithm>
#include <thread>

#include "blocking_object_store.h"
#include "stored_config.h"
#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

/** Pause after each removal, so that pruning takes only a small share of the store's writes. */
constexpr duration kRemovalPause = milliseconds(10);
constexpr duration kListTimeout = seconds(30);

}  // namespace

expected<store_answer> config_pruner::List(std::string_view prefix) {
  store_call call;
  call.operation = store_operation::kList;
  call.key = std::string(prefix);
  call.timeout = kListTimeout;
  store_answer answer = store_.Call(call);
  if (answer.outcome == store_outcome::kDone) return answer;
  return tl::make_unexpected(
      error{error_code::kUnavailable, "can't list " + call.key + ": " + store_.last_problem()});
}

expected<void> config_pruner::AddReferencedParts(const config_head& head) {
  for (const content_digest& page : head.pages) {
    if (page.empty() || !referenced_parts_.insert(PartKey(page)).second) continue;
    const expected<config_page> leaves = config_.Page(page);
    if (!leaves) return tl::make_unexpected(leaves.error());
    for (const content_digest& leaf : *leaves) {
      if (!leaf.empty()) referenced_parts_.insert(PartKey(leaf));
    }
  }
  return {};
}

expected<void> config_pruner::ReadKeptHeads(const config_head& newest, std::uint64_t keep) {
  expected<void> added = AddReferencedParts(newest);
  heads_kept_ = 1;
  const std::uint64_t number = newest.number.value();
  for (std::uint64_t offset = 1; added && offset < std::min(keep, number); ++offset) {
    const expected<config_head> head = config_.History(generation(number - offset));
    if (head) {
      heads_kept_ += 1;
      added = AddReferencedParts(*head);
    } else if (head.error().code != error_code::kNotFound) {
      return tl::make_unexpected(head.error());
    }
  }
  return added;
}

expected<void> config_pruner::FindUnneeded(const config_head& newest, object_version head_version,
                                           std::uint64_t keep, prune_report& report) {
  const expected<store_answer> parts = List(kConfigPartPrefix);
  if (!parts) return tl::make_unexpected(parts.error());
  for (const store_entry& part : parts->entries) {
    const bool needed = referenced_parts_.count(part.key) != 0;
    if (needed) report.parts_kept += 1;
    if (!needed && part.version < head_version) report.unneeded.push_back(part);
  }
  const expected<store_answer> history = List(kConfigHistoryPrefix);
  if (!history) return tl::make_unexpected(history.error());
  const std::uint64_t number = newest.number.value();
  const generation oldest(number >= keep ? number - keep + 1 : 1);
  for (const store_entry& head : history->entries) {
    if (head.key < HistoryKey(oldest)) report.unneeded.push_back(head);
  }
  return {};
}

expected<prune_report> config_pruner::Run(std::uint64_t keep, bool dry_run) {
  const expected<stored_head> newest = config_.NewestWithVersion();
  if (!newest) return tl::make_unexpected(newest.error());
  const expected<void> read = ReadKeptHeads(newest->head, keep);
  if (!read) return tl::make_unexpected(read.error());
  prune_report report;
  report.generations_kept = heads_kept_;
  const expected<void> found = FindUnneeded(newest->head, newest->version, keep, report);
  if (!found) return tl::make_unexpected(found.error());
  for (const store_entry& entry : report.unneeded) {
    if (dry_run) break;
    store_call removal;
    removal.operation = store_operation::kRemove;
    removal.key = entry.key;
    removal.expected = entry.version;
    if (store_.Call(removal).outcome == store_outcome::kDone) report.removed += 1;
    std::this_thread::sleep_for(kRemovalPause);
  }
  return report;
}

}  // namespace hawthorndrum
