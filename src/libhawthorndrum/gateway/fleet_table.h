/// All upstreams in the host list.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/departed_statements.h"
#include "gateway/fleet_upstream.h"

namespace hawthorndrum {

/**
 * Indexes upstreams by id, entry and service. The row of a removed entry stays while this daemon
 * has work there; what its upstream said about itself is kept for longer.
 *
 * Invariants: rows keep their address while they are in the table; each instance of an upstream has
 * its own id.
 */
class fleet_table {
 public:
  /** Returns the id of this instance of an upstream; the same at every daemon. */
  static upstream_id IdOf(const upstream_entry& entry);

  /**
   * Adds or updates the upstream; another instance under the same name replaces the row. Where the
   * time of birth is not known, the name and the address tell the instance.
   */
  fleet_upstream& Put(const upstream_entry& written);
  /** Marks the entry as removed; it gets no new work from `when` on. */
  void Remove(std::string_view entry_id, time_point when);

  fleet_upstream* Find(upstream_id id);
  const fleet_upstream* Find(upstream_id id) const;
  fleet_upstream* FindEntry(std::string_view entry_id);

  /** Returns the rows of a service, including those that take no work. */
  std::vector<fleet_upstream*> OfService(std::string_view service);
  /** Calls `visit` with every row. */
  void ForEach(const std::function<void(fleet_upstream&)>& visit);

  /** Returns the builds of rows that were overwritten in place since the last call. */
  std::vector<std::pair<std::string, software_build>> TakeReplacedBuilds() {
    return std::exchange(replaced_builds_, {});
  }

  /** Erases removed rows without work of this daemon. */
  void Sweep(time_point now);
  std::size_t size() const { return rows_.size(); }

 private:
  std::map<upstream_id, fleet_upstream> rows_;
  std::unordered_map<std::string, upstream_id> by_entry_;
  std::unordered_map<std::string, std::vector<fleet_upstream*>> by_service_;
  /** Of instances without a row. */
  departed_statements departed_;
  /** With their services. */
  std::vector<std::pair<std::string, software_build>> replaced_builds_;

  void RemoveFromService(fleet_upstream& row);
};

}  // namespace hawthorndrum
