/// All upstreams that the host list names.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/fleet_upstream.h"

namespace hawthorndrum {

/**
 * Rows by id, and the ids by service. A row whose entry is gone stays while it has own work.
 *
 * Invariants: rows do not move while they are in the table; the id differs for each start of an
 * upstream.
 */
class fleet_table {
 public:
  /** The id of that start of an upstream; the same at every daemon. */
  static upstream_id IdOf(const upstream_entry& entry);

  /** Adds or changes the upstream; another start under the same name replaces the row. */
  fleet_upstream& Put(const upstream_entry& entry);
  /** The entry is gone: no new work from `when` on. */
  void Remove(std::string_view entry_id, time_point when);

  fleet_upstream* Find(upstream_id id);
  const fleet_upstream* Find(upstream_id id) const;
  fleet_upstream* FindEntry(std::string_view entry_id);

  /** The rows of a service, those that take no work included. */
  std::vector<fleet_upstream*> OfService(std::string_view service);
  /** Calls `visit` with every row. */
  void ForEach(const std::function<void(fleet_upstream&)>& visit);

  /** Drops rows that are gone and have no own work. */
  void Sweep(time_point now);
  std::size_t size() const { return rows_.size(); }

 private:
  std::map<upstream_id, fleet_upstream> rows_;
  std::unordered_map<std::string, upstream_id> by_entry_;
  std::unordered_map<std::string, std::vector<fleet_upstream*>> by_service_;

  void Unlist(fleet_upstream& row);
};

}  // namespace hawthorndrum
