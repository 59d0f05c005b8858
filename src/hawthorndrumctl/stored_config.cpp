/// Reads and compares published configurations.
#include "stored_config.h"

#include "blocking_object_store.h"
#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

store_call ReadCall(std::string key) {
  store_call call;
  call.key = std::move(key);
  return call;
}

error Unreadable(const blocking_object_store& store, const std::string& key) {
  const std::string why = store.last_problem().empty() ? "no answer" : store.last_problem();
  return {error_code::kUnavailable, "can't read " + key + ": " + why};
}

}  // namespace

expected<stored_head> stored_config::NewestWithVersion() {
  const std::string key(kConfigHeadKey);
  const store_answer answer = store_.Call(ReadCall(key));
  if (answer.outcome == store_outcome::kMissing) {
    return tl::make_unexpected(error{error_code::kNotFound, "nothing was published yet"});
  }
  if (answer.outcome != store_outcome::kDone) return tl::make_unexpected(Unreadable(store_, key));
  const expected<config_head> head = DecodeHead(answer.value);
  if (!head) return tl::make_unexpected(head.error());
  return stored_head{*head, answer.version};
}

expected<config_head> stored_config::Newest() {
  return NewestWithVersion().map([](const stored_head& stored) { return stored.head; });
}

expected<config_head> stored_config::Head(generation number) {
  expected<config_head> newest = Newest();
  if (!newest || newest->number == number) return newest;
  return History(number);
}

expected<config_head> stored_config::History(generation number) {
  const std::string key = HistoryKey(number);
  const store_answer answer = store_.Call(ReadCall(key));
  if (answer.outcome == store_outcome::kMissing) {
    return tl::make_unexpected(
        error{error_code::kNotFound, "no generation " + std::to_string(number.value())});
  }
  if (answer.outcome != store_outcome::kDone) return tl::make_unexpected(Unreadable(store_, key));
  return DecodeHead(answer.value);
}

expected<std::string> stored_config::Part(const content_digest& digest) {
  const auto cached = cached_parts_.find(digest);
  if (cached != cached_parts_.end()) return cached->second;
  const std::string key = PartKey(digest);
  store_answer answer = store_.Call(ReadCall(key));
  if (answer.outcome != store_outcome::kDone) return tl::make_unexpected(Unreadable(store_, key));
  if (content_digest::Of(answer.value) != digest) {
    return tl::make_unexpected(
        error{error_code::kUnavailable, "damaged in the store (digest mismatch): " + key});
  }
  return cached_parts_[digest] = std::move(answer.value);
}

expected<config_page> stored_config::Page(const content_digest& digest) {
  if (digest.empty()) return config_page(kLeavesPerPage);
  const expected<std::string> bytes = Part(digest);
  if (!bytes) return tl::make_unexpected(bytes.error());
  return DecodePage(*bytes);
}

expected<void> stored_config::AddLeaf(const content_digest& digest, std::size_t number,
                                      entry_map& entries) {
  if (digest.empty()) return {};
  const expected<std::string> bytes = Part(digest);
  if (!bytes) return tl::make_unexpected(bytes.error());
  const expected<std::vector<config_entry>> leaf = DecodeLeaf(*bytes, number);
  if (!leaf) return tl::make_unexpected(leaf.error());
  for (const config_entry& entry : *leaf) {
    if (!entry.removed) entries[entry.config.name] = entry;
  }
  return {};
}

expected<void> stored_config::ReadDifferences(const config_head& from, const config_head& to,
                                              entry_map& from_entries, entry_map& to_entries) {
  for (std::size_t p = 0; p < kConfigPages; ++p) {
    if (from.pages[p] == to.pages[p]) continue;
    const expected<config_page> from_page = Page(from.pages[p]);
    if (!from_page) return tl::make_unexpected(from_page.error());
    const expected<config_page> to_page = Page(to.pages[p]);
    if (!to_page) return tl::make_unexpected(to_page.error());
    for (std::size_t l = 0; l < kLeavesPerPage; ++l) {
      if ((*from_page)[l] == (*to_page)[l]) continue;
      const std::size_t number = p * kLeavesPerPage + l;
      expected<void> added = AddLeaf((*from_page)[l], number, from_entries);
      if (added) added = AddLeaf((*to_page)[l], number, to_entries);
      if (!added) return added;
    }
  }
  return {};
}

expected<std::vector<service_change>> stored_config::Difference(const config_head& from,
                                                                const config_head& to) {
  entry_map from_entries;
  entry_map to_entries;
  const expected<void> read = ReadDifferences(from, to, from_entries, to_entries);
  if (!read) return tl::make_unexpected(read.error());
  std::map<std::string, service_change> changes;
  for (const auto& [name, entry] : to_entries) {
    const auto before = from_entries.find(name);
    const bool same =
        before != from_entries.end() && SameService(before->second.config, entry.config);
    if (!same) changes[name] = {name, entry.config};
  }
  for (const auto& [name, entry] : from_entries) {
    if (to_entries.count(name) == 0) changes[name] = {name, std::nullopt};
  }
  std::vector<service_change> list;
  list.reserve(changes.size());
  for (auto& [name, change] : changes) list.push_back(std::move(change));
  return list;
}

expected<std::map<std::string, config_entry>> stored_config::Services(const config_head& head) {
  entry_map no_entries;
  entry_map entries;
  const expected<void> read = ReadDifferences(config_head(), head, no_entries, entries);
  if (!read) return tl::make_unexpected(read.error());
  return entries;
}

expected<config_entry> stored_config::Find(const config_head& head, const std::string& service) {
  const std::size_t number = LeafOf(service);
  const expected<config_page> page = Page(head.pages[number / kLeavesPerPage]);
  if (!page) return tl::make_unexpected(page.error());
  entry_map entries;
  const expected<void> read = AddLeaf((*page)[number % kLeavesPerPage], number, entries);
  if (!read) return tl::make_unexpected(read.error());
  const auto found = entries.find(service);
  if (found != entries.end()) return found->second;
  return tl::make_unexpected(
      error{error_code::kNotFound,
            "no service " + service + " in generation " + std::to_string(head.number.value())});
}

}  // namespace hawthorndrum
