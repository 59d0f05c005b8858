/// Adds and counts the losses of one suspect.
#include "crashes/suspect_row.h"

#include <algorithm>
#include <cstdio>

namespace hawthorndrum {

std::string NameOf(suspect_id id) {
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(id.value()));
  return text;
}

bool suspect_row::Add(const upstream_loss& loss) {
  if (sound_at && loss.at < *sound_at) return false;
  const bool known = std::any_of(losses.begin(), losses.end(), [&](const upstream_loss& each) {
    return each.upstream == loss.upstream;
  });
  if (known) return false;
  const auto later = std::find_if(losses.begin(), losses.end(),
                                  [&](const upstream_loss& each) { return each.at > loss.at; });
  losses.insert(later, loss);
  if (losses.size() > kMaxLosses) losses.erase(losses.begin());
  return true;
}

bool suspect_row::SetSound(time_point begun_at) {
  sound_at = std::max(sound_at.value_or(begun_at), begun_at);
  const auto first_valid =
      std::find_if(losses.begin(), losses.end(),
                   [&](const upstream_loss& each) { return each.at >= *sound_at; });
  const bool any = first_valid != losses.begin();
  losses.erase(losses.begin(), first_valid);
  return any;
}

std::size_t suspect_row::CountLosses(const std::vector<upstream_id>& explained) const {
  std::size_t count = 0;
  const upstream_loss* last = nullptr;
  for (const upstream_loss& each : losses) {
    if (std::find(explained.begin(), explained.end(), each.upstream) != explained.end()) continue;
    const bool same =
        last != nullptr && each.sent_at < last->at && each.at - last->at < kSameMoment;
    if (same) continue;
    last = &each;
    ++count;
  }
  return count;
}

}  // namespace hawthorndrum
