/// Pool of the HTTP client's idle connections.
#include "connection_pool.h"

#include <algorithm>

namespace hawthorndrum {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxIdlePerKey = 64;

}  // namespace

bool LacksResources(const boost::system::error_code& failed) {
  namespace errc = boost::system::errc;
  return failed == errc::too_many_files_open || failed == errc::too_many_files_open_in_system ||
         failed == errc::no_buffer_space || failed == errc::not_enough_memory ||
         failed == errc::address_not_available;
}

bool connection_pool::IsReusable(client_connection& idle) {
  boost::system::error_code failed;
  idle.socket.non_blocking(true, failed);
  char byte = 0;
  idle.socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failed);
  return failed == asio::error::would_block;
}

std::unique_ptr<client_connection> connection_pool::Take(const key& to, duration longest_idle,
                                                         std::string_view id) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) return nullptr;
  auto& waiting = found->second;
  const auto now = std::chrono::steady_clock::now();
  while (!waiting.empty()) {
    // The last connection has the shortest idle time, so all others were idle for too long as well.
    if (now - waiting.back().since > longest_idle) return nullptr;
    idle_connection taken = std::move(waiting.back());
    waiting.pop_back();
    --size_;
    const auto& answered = taken.connection->answered;
    const bool repeats =
        !id.empty() && std::find(answered.begin(), answered.end(), id) != answered.end();
    if (!repeats && now < taken.until && IsReusable(*taken.connection))
      return std::move(taken.connection);
  }
  return nullptr;
}

void connection_pool::Keep(const key& to, std::unique_ptr<client_connection> connection,
                           duration keep_for) {
  if (connection->buffer.size() > 0) return;
  connection->used_before = true;
  const auto now = std::chrono::steady_clock::now();
  auto& waiting = idle_[to];
  waiting.push_back({std::move(connection), now, now + keep_for});
  ++size_;
  if (waiting.size() > kMaxIdlePerKey) {
    waiting.pop_front();
    --size_;
  }
  if (size_ > kMaxIdle) CloseLongestIdle();
}

void connection_pool::Sweep() {
  const auto now = std::chrono::steady_clock::now();
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& waiting = entry->second;
    const auto must_close = [now](idle_connection& each) {
      return now >= each.until || !IsReusable(*each.connection);
    };
    const std::size_t before = waiting.size();
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), must_close), waiting.end());
    size_ -= before - waiting.size();
    entry = waiting.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

bool connection_pool::CloseLongestIdle() {
  auto longest = idle_.end();
  for (auto entry = idle_.begin(); entry != idle_.end(); ++entry) {
    if (entry->second.empty()) continue;
    const bool is_longer =
        longest == idle_.end() || entry->second.front().since < longest->second.front().since;
    if (is_longer) longest = entry;
  }
  if (longest == idle_.end()) return false;
  longest->second.pop_front();
  --size_;
  if (longest->second.empty()) idle_.erase(longest);
  return true;
}

void connection_pool::Open(asio::ip::tcp::socket& socket, const asio::ip::tcp::endpoint& to) {
  boost::system::error_code failed;
  socket.open(to.protocol(), failed);
  while (LacksResources(failed) && CloseLongestIdle()) socket.open(to.protocol(), failed);
}

}  // namespace hawthorndrum
