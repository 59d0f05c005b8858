/// Stand-in for a model engine.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine_options.h"
#include "standin_server.h"

namespace hawthorndrum {

/**
 * Generates tokens at configured rates, executes orders, and reports load and cache events.
 *
 * Invariants: running_ counts the streams that occupy a slot; an order runs while state_ is
 * kChanging; highest_term_ never decreases.
 */
class engine_standin : public standin_server {
 public:
  engine_standin(boost::asio::io_context& io, engine_options options);

  void OnCallerGone(request_id request) override;
  std::uint64_t conflicting_orders() const { return conflicting_orders_; }
  std::uint64_t cut_streams() const { return cut_streams_; }

 protected:
  void Handle(standin_reply reply, const http_request& message) override;
  nlohmann::json Stats() const override;

 private:
  struct stream {
    std::uint64_t id = 0;
    std::string attempt;
    standin_reply reply;
    std::string model;
    std::uint64_t seed = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t next_token = 0;
    std::uint64_t end_token = 0;
    bool streamed = false;
    bool running = false;
    std::string text;
  };
  struct cache_event {
    std::uint64_t sequence = 0;
    bool stored = true;
    std::uint64_t piece = 0;
  };

  void Complete(standin_reply reply, const http_request& message);
  bool HasModel(const nlohmann::json& request) const;
  void StartWaiting();
  void StartStream(stream& started);
  void Step(std::uint64_t id);
  void SendToken(stream& running);
  void FinishStream(stream& finished);
  void CutStream(std::uint64_t id);
  void EraseStream(std::uint64_t id);
  std::uint64_t UncachedTokens(const nlohmann::json& request);
  void StorePiece(std::uint64_t piece);

  void HandleOrder(standin_reply reply, const http_request& message);
  void ExecuteOrder(const nlohmann::json& order);
  void Cancel(standin_reply reply, std::string_view attempt);
  void ShowCacheEvents(standin_reply reply, const http_request& message) const;
  void ShowLoad(standin_reply reply) const;
  void TakeSnapshot();
  nlohmann::json Load() const;
  double PrefillRate() const;
  double DecodeRate() const;

  engine_options options_;
  std::uint64_t incarnation_;
  engine_state state_ = engine_state::kReady;
  std::unordered_map<std::uint64_t, stream> streams_;
  std::deque<std::uint64_t> waiting_;
  std::uint32_t running_ = 0;
  std::uint64_t last_stream_ = 0;
  std::chrono::steady_clock::time_point prefill_free_at_;

  std::uint64_t highest_term_ = 0;
  std::string last_order_;
  std::string order_state_ = "none";

  std::deque<std::uint64_t> cached_;
  std::deque<cache_event> cache_events_;
  std::uint64_t last_cache_event_ = 0;

  struct snapshot {
    std::chrono::steady_clock::time_point time;
    nlohmann::json load;
  };
  std::deque<snapshot> snapshots_;

  std::uint64_t tokens_ = 0;
  std::uint64_t completions_ = 0;
  std::uint64_t orders_ = 0;
  std::uint64_t conflicting_orders_ = 0;
  std::uint64_t stale_orders_taken_ = 0;
  std::uint64_t cut_streams_ = 0;
  std::map<std::string, std::uint64_t> runs_;
};

}  // namespace hawthorndrum
