/// Maintains the indexes by id, entry and service.
#include "gateway/fleet_table.h"

#include <algorithm>

#include "base/hash.h"
#include "origins/stream_origin.h"

namespace hawthorndrum {

upstream_id fleet_table::IdOf(const upstream_entry& entry) {
  return upstream_id(Hash64(entry.id, entry.born));
}

fleet_upstream& fleet_table::Put(const upstream_entry& written) {
  upstream_entry entry = written;
  upstream_id& listed = by_entry_[entry.id];
  fleet_upstream* previous = Find(listed);
  const bool same_place = previous != nullptr && previous->entry.address == entry.address;
  // An entry without the time of birth does not show another instance.
  if (same_place && entry.born == 0) entry.born = previous->entry.born;
  const bool may_be_same = same_place && previous->entry.born == 0;
  const upstream_id id = IdOf(entry);
  // The upstream restarted; the work and the cache of the previous instance are lost.
  if (previous != nullptr && listed != id) previous->gone_at = time_point();
  listed = id;
  fleet_upstream& row = rows_[id];
  const bool moved = row.id && row.entry.service != entry.service;
  if (moved) RemoveFromService(row);
  if (!row.id) row.said = may_be_same ? previous->said : departed_.Take(id);
  if (!row.id || moved) by_service_[entry.service].push_back(&row);
  if (row.id && row.entry.stage != entry.stage) row.cache.Clear();
  if (row.id && row.build != BuildOf(entry.service, entry.software_version))
    replaced_builds_.emplace_back(row.entry.service, row.build);
  row.id = id;
  row.entry = entry;
  row.build = BuildOf(entry.service, entry.software_version);
  row.gone_at.reset();
  return row;
}

void fleet_table::Remove(std::string_view entry_id, time_point when) {
  fleet_upstream* row = FindEntry(entry_id);
  if (row != nullptr && !row->gone_at) row->gone_at = when;
}

fleet_upstream* fleet_table::Find(upstream_id id) {
  const auto found = rows_.find(id);
  return found == rows_.end() ? nullptr : &found->second;
}

const fleet_upstream* fleet_table::Find(upstream_id id) const {
  const auto found = rows_.find(id);
  return found == rows_.end() ? nullptr : &found->second;
}

fleet_upstream* fleet_table::FindEntry(std::string_view entry_id) {
  const auto found = by_entry_.find(std::string(entry_id));
  return found == by_entry_.end() ? nullptr : Find(found->second);
}

std::vector<fleet_upstream*> fleet_table::OfService(std::string_view service) {
  const auto found = by_service_.find(std::string(service));
  return found == by_service_.end() ? std::vector<fleet_upstream*>() : found->second;
}

void fleet_table::ForEach(const std::function<void(fleet_upstream&)>& visit) {
  for (auto& [id, row] : rows_) visit(row);
}

void fleet_table::Sweep(time_point now) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    fleet_upstream& row = it->second;
    if (!row.gone_at || now < *row.gone_at || row.own.running > 0) {
      ++it;
      continue;
    }
    RemoveFromService(row);
    departed_.Keep(row.id, row.said, now);
    const auto listed = by_entry_.find(row.entry.id);
    if (listed != by_entry_.end() && listed->second == row.id) by_entry_.erase(listed);
    it = rows_.erase(it);
  }
}

void fleet_table::RemoveFromService(fleet_upstream& row) {
  auto& listed = by_service_[row.entry.service];
  listed.erase(std::remove(listed.begin(), listed.end(), &row), listed.end());
}

}  // namespace hawthorndrum
