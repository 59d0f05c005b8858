/// Decides which ports to open next, and when to give up.
#include "port_opener.h"

#include <utility>

namespace hawthorndrum {

void port_opener::Add(std::function<expected<void>()> bind,
                      std::function<expected<void>()> listen) {
  ports_.push_back({std::move(bind), std::move(listen)});
}

port_opener::state port_opener::Attempt(time_point now) {
  if (!began_) began_ = now;
  if (BindAll() && ListenAll()) return state::kOpen;
  if (problem_.code != error_code::kAddressInUse) return state::kFailed;
  return now - *began_ < patience_ ? state::kWaiting : state::kFailed;
}

bool port_opener::BindAll() {
  bool all = true;
  for (port& each : ports_) {
    if (each.bound) continue;
    const auto bound = each.bind();
    each.bound = bound.has_value();
    if (bound) continue;
    // An error that no wait can mend is the one to report.
    if (all || bound.error().code != error_code::kAddressInUse) problem_ = bound.error();
    all = false;
  }
  return all;
}

bool port_opener::ListenAll() {
  for (port& each : ports_) {
    if (each.listens) continue;
    const auto listens = each.listen ? each.listen() : expected<void>();
    each.listens = listens.has_value();
    if (listens) continue;
    // Two sockets may be bound to an address until one of them listens.
    each.bound = false;
    problem_ = listens.error();
    return false;
  }
  return true;
}

}  // namespace hawthorndrum
