/// Reads published configurations from the object store.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "tables/config_entry.h"
#include "tables/config_head.h"
#include "tables/publish_request.h"

namespace hawthorndrum {

class blocking_object_store;

/** A head and the version of the object that holds it. */
struct stored_head {
  config_head head;
  object_version version;
};

/**
 * Reads heads, and the parts in which two of them differ. Checks parts against their digest and
 * caches them, so that none is read twice.
 */
class stored_config {
 public:
  explicit stored_config(blocking_object_store& store) : store_(store) {}

  /** The head in force. */
  expected<stored_head> NewestWithVersion();
  expected<config_head> Newest();
  /** The head of a generation that is no longer in force. */
  expected<config_head> History(generation number);
  /** The head of a generation, in force or in the history. */
  expected<config_head> Head(generation number);
  /** The service's entry under the head; kNotFound if there is none. */
  expected<config_entry> Find(const config_head& head, const std::string& service);
  /** The changes that turn one configuration into the other, sorted by service name. */
  expected<std::vector<service_change>> Difference(const config_head& from, const config_head& to);
  /** Every service under the head. */
  expected<std::map<std::string, config_entry>> Services(const config_head& head);
  /** Reads a page: the digests of its leaves. */
  expected<config_page> Page(const content_digest& digest);

 private:
  using entry_map = std::map<std::string, config_entry>;

  expected<std::string> Part(const content_digest& digest);
  expected<void> AddLeaf(const content_digest& digest, std::size_t number, entry_map& entries);
  /** Reads the entries of those leaves only that differ between the two configurations. */
  expected<void> ReadDifferences(const config_head& from, const config_head& to,
                                 entry_map& from_entries, entry_map& to_entries);

  blocking_object_store& store_;
  std::map<content_digest, std::string> cached_parts_;
};

}  // namespace hawthorndrum
