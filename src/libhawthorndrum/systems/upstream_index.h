/// Which upstreams serve a service, ordered on a hash ring.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "tables/service_config.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

struct ring_point {
  std::uint64_t place = 0;
  upstream_id id;
};

/**
 * Upstreams that serve the same model or pool: those of this data centre, or those of the others.
 */
struct upstream_group {
  std::vector<upstream_id> members;
  /** Sorted by place; each member has kPointsPerUpstream points. */
  std::vector<ring_point> ring;
};

/**
 * Groups of the upstream table, rebuilt when the set of upstreams or what they hold has changed.
 * The groups may be out of date by up to kRefreshPeriod, so whoever takes an upstream from them
 * must check its row.
 */
class upstream_index {
 public:
  static constexpr int kPointsPerUpstream = 8;
  static constexpr duration kRefreshPeriod = milliseconds(100);
  /** How long a daemon waits after its start for the first report of each engine. */
  static constexpr duration kMaxSettlingTime = seconds(6);

  upstream_index(const upstream_table& upstreams, std::string own_data_centre);

  void Refresh(time_point now);

  /**
   * Whether this daemon has, since its start, seen a report of each engine of its data centre, or
   * has waited long enough. Until then its groups may differ from those of other daemons.
   */
  bool is_settled() const { return is_settled_; }

  /** Returns the group, or nullptr when no upstream belongs to it. */
  const upstream_group* Find(std::uint64_t key, bool own_data_centre) const;

  /** The key of the group that serves the service. */
  static std::uint64_t KeyOf(const service_config& service);

  /** Whether the upstream holds what the service needs. */
  static bool Serves(const upstream& row, const service_config& service);

 private:
  std::uint64_t Signature() const;
  bool HasAllReports() const;
  void Rebuild();
  void Add(std::uint64_t key, const upstream& row);

  const upstream_table& upstreams_;
  std::string own_data_centre_;
  std::unordered_map<std::uint64_t, upstream_group> own_;
  std::unordered_map<std::uint64_t, upstream_group> others_;
  std::uint64_t signature_ = 0;
  time_point refreshed_;
  bool built_ = false;
  time_point started_;
  bool is_settled_ = false;
};

}  // namespace hawthorndrum
