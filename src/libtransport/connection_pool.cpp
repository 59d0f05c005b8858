/// Keeping idle connections.
#include "connection_pool.h"

#include <algorithm>

namespace hawthorndrum {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kIdlePerAddress = 64;

}  // namespace

bool connection_pool::IsQuiet(client_connection& idle) {
  boost::system::error_code failed;
  idle.socket.non_blocking(true, failed);
  char byte = 0;
  idle.socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failed);
  return failed == asio::error::would_block;
}

std::unique_ptr<client_connection> connection_pool::Take(const key& to, duration longest_idle) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) return nullptr;
  auto& waiting = found->second;
  const auto now = std::chrono::steady_clock::now();
  while (!waiting.empty()) {
    // The last one was idle the shortest, so none of the others will do either.
    if (now - waiting.back().since > longest_idle) return nullptr;
    idle_connection taken = std::move(waiting.back());
    waiting.pop_back();
    if (now < taken.until && IsQuiet(*taken.kept)) return std::move(taken.kept);
  }
  return nullptr;
}

void connection_pool::Keep(const key& to, std::unique_ptr<client_connection> kept,
                           duration keep_for) {
  if (kept->buffer.size() > 0) return;
  kept->used_before = true;
  const auto now = std::chrono::steady_clock::now();
  auto& waiting = idle_[to];
  waiting.push_back({std::move(kept), now, now + keep_for});
  if (waiting.size() > kIdlePerAddress) waiting.pop_front();
}

void connection_pool::Sweep() {
  const auto now = std::chrono::steady_clock::now();
  for (auto place = idle_.begin(); place != idle_.end();) {
    auto& waiting = place->second;
    const auto over = [now](idle_connection& each) {
      return now >= each.until || !IsQuiet(*each.kept);
    };
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), over), waiting.end());
    place = waiting.empty() ? idle_.erase(place) : std::next(place);
  }
}

std::size_t connection_pool::size() const {
  std::size_t sum = 0;
  for (const auto& [to, waiting] : idle_) sum += waiting.size();
  return sum;
}

}  // namespace hawthorndrum
