/// Pruning, over a blocking store.
#include "config_pruner.h"

#include <algorithm>
#include <thread>

#include "blocking_object_store.h"
#include "stored_config.h"
#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

/** A pause after each removal, so that pruning takes a small share of the store's writes. */
constexpr duration kPause = milliseconds(10);
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

expected<void> config_pruner::KeepPartsOf(const config_head& head) {
  for (const content_digest& page : head.pages) {
    if (page.empty() || !kept_.insert(PartKey(page)).second) continue;
    const expected<config_page> leaves = config_.Page(page);
    if (!leaves) return tl::make_unexpected(leaves.error());
    for (const content_digest& leaf : *leaves) {
      if (!leaf.empty()) kept_.insert(PartKey(leaf));
    }
  }
  return {};
}

expected<void> config_pruner::ReadKept(const config_head& newest, std::uint64_t keep) {
  expected<void> kept = KeepPartsOf(newest);
  generations_ = 1;
  const std::uint64_t number = newest.number.value();
  for (std::uint64_t back = 1; kept && back < std::min(keep, number); ++back) {
    const expected<config_head> head = config_.History(generation(number - back));
    if (head) {
      generations_ += 1;
      kept = KeepPartsOf(*head);
    } else if (head.error().code != error_code::kNotFound) {
      return tl::make_unexpected(head.error());
    }
  }
  return kept;
}

expected<void> config_pruner::FindUnneeded(const config_head& newest, object_version head_version,
                                           std::uint64_t keep, prune_report& report) {
  const expected<store_answer> parts = List(kConfigPartPrefix);
  if (!parts) return tl::make_unexpected(parts.error());
  for (const store_entry& part : parts->entries) {
    const bool needed = kept_.count(part.key) != 0;
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
  const expected<stored_head> newest = config_.NewestStored();
  if (!newest) return tl::make_unexpected(newest.error());
  const expected<void> read = ReadKept(newest->head, keep);
  if (!read) return tl::make_unexpected(read.error());
  prune_report report;
  report.generations_kept = generations_;
  const expected<void> found = FindUnneeded(newest->head, newest->version, keep, report);
  if (!found) return tl::make_unexpected(found.error());
  for (const store_entry& entry : report.unneeded) {
    if (dry_run) break;
    store_call removal;
    removal.operation = store_operation::kRemove;
    removal.key = entry.key;
    removal.expected = entry.version;
    if (store_.Call(removal).outcome == store_outcome::kDone) report.removed += 1;
    std::this_thread::sleep_for(kPause);
  }
  return report;
}

}  // namespace hawthorndrum
