/// Which upstreams serve a service, ordered on a hash ring.
#include "systems/upstream_index.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace hawthorndrum {

namespace {

constexpr std::uint64_t kModelSeed = 1;
constexpr std::uint64_t kPoolSeed = 2;

std::uint64_t ModelKey(std::string_view name, std::string_view version, std::string_view adapter) {
  return Hash64(adapter, Hash64(version, Hash64(name, kModelSeed)));
}

}  // namespace

upstream_index::upstream_index(const upstream_table& upstreams, std::string own_data_centre)
    : upstreams_(upstreams), own_data_centre_(std::move(own_data_centre)) {}

std::uint64_t upstream_index::KeyOf(const service_config& service) {
  if (service.kind == service_kind::kPlain) return Hash64(service.pool, kPoolSeed);
  return ModelKey(service.model.name, service.model.version, service.model.adapter);
}

bool upstream_index::Serves(const upstream& row, const service_config& service) {
  if (service.kind == service_kind::kPlain) {
    return row.kind == host_kind::kService && row.pool == service.pool;
  }
  if (row.kind != host_kind::kEngine || !row.has_report) return false;
  for (const loaded_model& model : row.report.models) {
    if (model.name != service.model.name || model.version != service.model.version) continue;
    if (service.model.adapter.empty()) return true;
    const auto& adapters = model.adapters;
    if (std::find(adapters.begin(), adapters.end(), service.model.adapter) != adapters.end()) {
      return true;
    }
  }
  return false;
}

void upstream_index::Refresh(time_point now) {
  if (built_ && now - refreshed_ < kRefreshPeriod) return;
  refreshed_ = now;
  if (!built_) started_ = now;
  is_settled_ = is_settled_ || now - started_ >= kMaxSettlingTime || HasAllReports();
  const std::uint64_t signature = Signature();
  if (built_ && signature == signature_) return;
  signature_ = signature;
  built_ = true;
  Rebuild();
}

const upstream_group* upstream_index::Find(std::uint64_t key, bool own_data_centre) const {
  const auto& groups = own_data_centre ? own_ : others_;
  const auto found = groups.find(key);
  return found == groups.end() ? nullptr : &found->second;
}

std::uint64_t upstream_index::Signature() const {
  std::uint64_t sum = upstreams_.size();
  for (const upstream& row : upstreams_) {
    std::uint64_t one = Hash64(row.data_centre, row.id.value());
    if (row.kind == host_kind::kService) {
      one = Hash64(row.pool, one);
    } else if (row.has_report) {
      for (const loaded_model& model : row.report.models) {
        one = Hash64(model.version, Hash64(model.name, one));
        for (const std::string& adapter : model.adapters) one = Hash64(adapter, one);
      }
    }
    sum += one;
  }
  return sum;
}

bool upstream_index::HasAllReports() const {
  return !upstreams_.empty() &&
         std::all_of(upstreams_.begin(), upstreams_.end(), [&](const upstream& row) {
           return row.kind != host_kind::kEngine || row.has_report ||
                  row.data_centre != own_data_centre_;
         });
}

void upstream_index::Rebuild() {
  own_.clear();
  others_.clear();
  for (const upstream& row : upstreams_) {
    if (row.kind == host_kind::kService) {
      Add(Hash64(row.pool, kPoolSeed), row);
    } else if (row.kind == host_kind::kEngine && row.has_report) {
      for (const loaded_model& model : row.report.models) {
        Add(ModelKey(model.name, model.version, {}), row);
        for (const std::string& adapter : model.adapters) {
          Add(ModelKey(model.name, model.version, adapter), row);
        }
      }
    }
  }
  const auto by_place = [](const ring_point& a, const ring_point& b) {
    return a.place != b.place ? a.place < b.place : a.id < b.id;
  };
  for (auto& [key, group] : own_) std::sort(group.ring.begin(), group.ring.end(), by_place);
  for (auto& [key, group] : others_) std::sort(group.ring.begin(), group.ring.end(), by_place);
}

void upstream_index::Add(std::uint64_t key, const upstream& row) {
  upstream_group& group = row.data_centre == own_data_centre_ ? own_[key] : others_[key];
  group.members.push_back(row.id);
  for (int point = 1; point <= kPointsPerUpstream; ++point) {
    const auto place = RendezvousScore(row.id.value(), static_cast<std::uint64_t>(point));
    group.ring.push_back({place, row.id});
  }
}

}  // namespace hawthorndrum
