/// HTTP/1.1 client built on Boost.Beast.
#include "http_client.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "connection_pool.h"
#include "connection_probe.h"
#include "http_call_listener.h"
#include "running_call.h"

namespace hawthorndrum {

namespace asio = boost::asio;

class http_client::impl : public call_owner,
                          public std::enable_shared_from_this<http_client::impl> {
 public:
  explicit impl(asio::io_context& io) : io_(io) {}

  http_call_id Start(http_call call, http_call_listener& listener);
  void Cancel(http_call_id id);
  void SetPaused(http_call_id id, bool paused);
  void CancelAll();
  std::size_t open_calls() const { return calls_.size(); }
  void Sweep() { idle_.Sweep(); }
  connection_pool& connections() override { return idle_; }
  void Remove(http_call_id id) override { calls_.erase(id); }
  void Probe(const std::string& address, std::uint64_t owner, duration timeout, probe_handler done);

 private:
  asio::io_context& io_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<http_call_id, std::shared_ptr<running_call>> calls_;
  connection_pool idle_;
};

http_call_id http_client::impl::Start(http_call call, http_call_listener& listener) {
  const http_call_id id(++last_id_);
  std::unique_ptr<client_connection> reused;
  if (call.reuse) {
    reused = idle_.Take({call.address, call.owner}, call.longest_idle, call.expected_answer.value);
  }
  auto running =
      std::make_shared<running_call>(weak_from_this(), io_, id, std::move(call), listener);
  calls_.emplace(id, running);
  running->Start(std::move(reused));
  return id;
}

void http_client::impl::Probe(const std::string& address, std::uint64_t owner, duration timeout,
                              probe_handler done) {
  const auto probe = std::make_shared<connection_probe>(
      io_, [self = weak_from_this(), address, owner, done = std::move(done)](
               std::unique_ptr<client_connection> opened, attempt_failure failure) {
        const auto pool_owner = self.lock();
        if (!pool_owner) return;
        if (!opened) return done(failure);
        pool_owner->idle_.Keep({address, owner}, std::move(opened), kDefaultKeepTime);
        done(std::nullopt);
      });
  probe->Start(address, timeout);
}

void http_client::impl::Cancel(http_call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto running = found->second;
  running->Stop();
  running->Close();
}

void http_client::impl::SetPaused(http_call_id id, bool paused) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto running = found->second;
  running->SetPaused(paused);
}

void http_client::impl::CancelAll() {
  while (!calls_.empty()) Cancel(calls_.begin()->first);
}

http_client::http_client(asio::io_context& io) : impl_(std::make_shared<impl>(io)) {}

http_client::~http_client() { impl_->CancelAll(); }

http_call_id http_client::Start(http_call call, http_call_listener& listener) {
  return impl_->Start(std::move(call), listener);
}

void http_client::Cancel(http_call_id id) { impl_->Cancel(id); }

void http_client::Probe(const std::string& address, std::uint64_t owner, duration timeout,
                        probe_handler done) {
  impl_->Probe(address, owner, timeout, std::move(done));
}

void http_client::SetPaused(http_call_id id, bool paused) { impl_->SetPaused(id, paused); }

std::size_t http_client::open_calls() const { return impl_->open_calls(); }

void http_client::Sweep() { impl_->Sweep(); }

}  // namespace hawthorndrum
