/// Merges evidence and derives convictions.
#include "crashes/crash_record.h"

#include <algorithm>
#include <tuple>

namespace hawthorndrum {

const suspect_row* crash_record::Find(suspect_id id) const {
  const auto found = rows_.find(id);
  return found == rows_.end() ? nullptr : &found->second;
}

suspect_row& crash_record::RowOf(const suspect& about) {
  const auto found = rows_.find(about.id);
  if (found != rows_.end()) return found->second;
  Judge();
  if (rows_.size() - convicted_.size() >= kMaxRows) DropLeast();
  suspect_row& row = rows_[about.id];
  row.about = about;
  const auto sound = sound_.find(about.id);
  if (sound != sound_.end()) row.sound_at = sound->second;
  return row;
}

void crash_record::RecordLoss(boost::span<const suspect> suspects, const upstream_loss& loss,
                              time_point) {
  for (const suspect& each : suspects) changed_ = RowOf(each).Add(loss) || changed_;
}

void crash_record::RecordSound(boost::span<const suspect> suspects, time_point begun_at,
                               time_point) {
  for (const suspect& each : suspects) {
    const auto row = rows_.find(each.id);
    if (row != rows_.end()) changed_ = row->second.SetSound(begun_at) || changed_;
    // A whole request seldom comes again.
    if (each.depth != suspect::kRequestDepth) RememberSound(each.id, begun_at);
  }
}

void crash_record::RememberSound(suspect_id id, time_point begun_at) {
  if (sound_.size() >= kMaxSound && sound_.count(id) == 0) {
    // Drops the older half.
    std::vector<time_point> times;
    for (const auto& [each, at] : sound_) times.push_back(at);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    for (auto it = sound_.begin(); it != sound_.end();)
      it = it->second <= *middle ? sound_.erase(it) : std::next(it);
  }
  time_point& at = sound_[id];
  at = std::max(at, begun_at);
}

merge_result crash_record::Merge(const suspect_row& other) {
  merge_result result;
  suspect_row& row = RowOf(other.about);
  if (other.sound_at) {
    result.learned = !row.sound_at || *other.sound_at > *row.sound_at + suspect_row::kSameMoment;
    result.learned = row.SetSound(*other.sound_at) || result.learned;
    RememberSound(other.about.id, *other.sound_at);
  }
  for (const upstream_loss& loss : other.losses) {
    if (row.sound_at && loss.at < *row.sound_at) {
      result.refutes = true;
    } else {
      result.learned = row.Add(loss) || result.learned;
    }
  }
  row.asked_at = std::max(row.asked_at, other.asked_at);
  changed_ = changed_ || result.learned;
  return result;
}

void crash_record::Judge() {
  if (!changed_) return;
  changed_ = false;
  struct candidate {
    const suspect_row* row = nullptr;
    std::size_t losses = 0;
  };
  std::vector<candidate> candidates;
  for (const auto& [id, row] : rows_) {
    const std::size_t losses = row.CountLosses({});
    if (losses >= kLossesToConvict) candidates.push_back({&row, losses});
  }
  const auto rank = [](const candidate& each) {
    return std::make_tuple(each.row->sound_at ? 0 : 1, std::min(each.losses, kStrongEvidence),
                           each.row->about.depth, each.losses, each.row->about.id.value());
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const candidate& a, const candidate& b) { return rank(a) > rank(b); });
  convicted_.clear();
  std::vector<upstream_id> explained;
  for (const candidate& each : candidates) {
    if (each.row->CountLosses(explained) < kLossesToConvict) continue;
    convicted_.insert(each.row->about.id);
    for (const upstream_loss& loss : each.row->losses) explained.push_back(loss.upstream);
  }
}

bool crash_record::Convicts(suspect_id id) {
  Judge();
  return convicted_.count(id) > 0;
}

const std::unordered_set<suspect_id>& crash_record::Convicted() {
  Judge();
  return convicted_;
}

suspect_id crash_record::FindConvicted(boost::span<const suspect> suspects, time_point now) {
  suspect_id first;
  for (const suspect& each : suspects) {
    if (!Convicts(each.id)) continue;
    rows_.at(each.id).asked_at = now;
    if (!first) first = each.id;
  }
  return first;
}

void crash_record::Sweep(time_point now) {
  Judge();
  for (auto it = rows_.begin(); it != rows_.end();) {
    suspect_row& row = it->second;
    if (convicted_.count(it->first) > 0) {
      const time_point last = std::max(row.asked_at, row.losses.back().at);
      if (now - last <= kConvictionLifetime) {
        ++it;
        continue;
      }
      row.losses.clear();
      changed_ = true;
    }
    const auto is_old = [&](const upstream_loss& each) { return now - each.at > kLossLifetime; };
    row.losses.erase(std::remove_if(row.losses.begin(), row.losses.end(), is_old),
                     row.losses.end());
    const bool refuted_lately = row.sound_at && now - *row.sound_at <= kRefutationLifetime;
    it = row.losses.empty() && !refuted_lately ? rows_.erase(it) : std::next(it);
  }
  Judge();
  while (convicted_.size() > kMaxConvicted) DropOldestConviction();
}

void crash_record::DropLeast() {
  const auto rank = [](const suspect_row& row) {
    const time_point last = row.losses.empty() ? time_point() : row.losses.back().at;
    return std::make_tuple(row.losses.size(), last);
  };
  auto least = rows_.end();
  for (auto it = rows_.begin(); it != rows_.end(); ++it) {
    if (convicted_.count(it->first) > 0) continue;
    if (least == rows_.end() || rank(it->second) < rank(least->second)) least = it;
  }
  if (least != rows_.end()) rows_.erase(least);
}

void crash_record::DropOldestConviction() {
  const auto oldest = std::min_element(convicted_.begin(), convicted_.end(),
                                       [&](const suspect_id& a, const suspect_id& b) {
                                         return rows_.at(a).asked_at < rows_.at(b).asked_at;
                                       });
  rows_.erase(*oldest);
  convicted_.erase(oldest);
}

}  // namespace hawthorndrum
