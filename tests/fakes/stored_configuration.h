/// Reads the configuration in a fake store.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "fake_object_store.h"
#include "systems/config_codec.h"

namespace hawthorndrum {

/** Entries by service name, without removed ones. */
using service_map = std::map<std::string, config_entry>;

inline std::string StoredValue(const fake_object_store& store, const std::string& key) {
  const auto found = store.objects().find(key);
  return found == store.objects().end() ? std::string() : found->second.value;
}

/** Returns the head in force; its number is 0 when there is none. */
inline config_head StoredHead(const fake_object_store& store) {
  const expected<config_head> head = DecodeHead(StoredValue(store, std::string(kConfigHeadKey)));
  return head ? *head : config_head();
}

/** Returns the head of a generation, in force or from the history. */
inline config_head StoredHead(const fake_object_store& store, generation number) {
  const config_head newest = StoredHead(store);
  if (newest.number == number) return newest;
  const expected<config_head> head = DecodeHead(StoredValue(store, HistoryKey(number)));
  return head ? *head : config_head();
}

/** Returns all services of a head. Fails the test when a part is missing or damaged. */
inline service_map StoredServices(const fake_object_store& store, const config_head& head) {
  service_map services;
  for (std::size_t p = 0; p < kConfigPages; ++p) {
    if (head.pages[p].empty()) continue;
    const std::string page_bytes = StoredValue(store, PartKey(head.pages[p]));
    EXPECT_EQ(content_digest::Of(page_bytes), head.pages[p]);
    const expected<config_page> page = DecodePage(page_bytes);
    EXPECT_TRUE(page) << "page " << p;
    if (!page) continue;
    for (std::size_t l = 0; l < kLeavesPerPage; ++l) {
      if ((*page)[l].empty()) continue;
      const std::string leaf_bytes = StoredValue(store, PartKey((*page)[l]));
      EXPECT_EQ(content_digest::Of(leaf_bytes), (*page)[l]);
      const auto leaf = DecodeLeaf(leaf_bytes, p * kLeavesPerPage + l);
      EXPECT_TRUE(leaf) << "leaf " << l << " of page " << p;
      if (!leaf) continue;
      for (const config_entry& entry : *leaf) {
        if (!entry.removed) services[entry.config.name] = entry;
      }
    }
  }
  return services;
}

inline service_map StoredServices(const fake_object_store& store) {
  return StoredServices(store, StoredHead(store));
}

}  // namespace hawthorndrum
