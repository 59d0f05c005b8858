/// Counts the daemons that may use a part of the bound.
#include "gateway/fleet_share.h"

#include <iterator>

#include "gateway/daemon_directory.h"

namespace hawthorndrum {

void fleet_share::OnListed(const std::vector<daemon_record>& others, bool lists_this,
                           time_point read_at) {
  read_at_ = read_at;
  if (!lists_this) {
    listed_since_.reset();
  } else if (!listed_since_) {
    listed_since_ = read_at;
  }
  for (auto& [name, missing_since] : missing_since_) {
    if (!missing_since) missing_since = read_at;
  }
  for (const daemon_record& each : others) missing_since_[each.name].reset();
  for (auto each = missing_since_.begin(); each != missing_since_.end();) {
    const bool is_over = each->second && read_at - *each->second > Retention();
    each = is_over ? missing_since_.erase(each) : std::next(each);
  }
}

double fleet_share::At(time_point now) const {
  if (!listed_since_ || now - *listed_since_ < Retention()) return 0;
  if (now - read_at_ > kMaxListAge) return 0;
  return 1 / static_cast<double>(daemons());
}

}  // namespace hawthorndrum
