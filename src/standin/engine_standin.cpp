/// Request streams, cache events and load snapshots of the engine stand-in.
#include "engine_standin.h"

#include <algorithm>
#include <random>

#include "query.h"
#include "token_text.h"

namespace hawthorndrum {

namespace {

constexpr std::uint64_t kDefaultOutputTokens = 16;
constexpr std::uint64_t kPieceTokens = 2000;
constexpr std::size_t kCachedPieces = 4096;
constexpr std::size_t kCacheEventsKept = 1024;
constexpr duration kSnapshotInterval = milliseconds(100);

nlohmann::json Chunk(const std::string& model, const nlohmann::json& delta, bool last) {
  nlohmann::json choice = {{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}};
  if (last) choice["finish_reason"] = "stop";
  return {{"id", "chatcmpl-standin"},
          {"object", "chat.completion.chunk"},
          {"created", 0},
          {"model", model},
          {"choices", nlohmann::json::array({choice})}};
}

std::string Event(std::uint64_t id, const nlohmann::json& data) {
  return "id: " + std::to_string(id) + "\ndata: " + data.dump() + "\n\n";
}

}  // namespace

engine_standin::engine_standin(boost::asio::io_context& io, engine_options options)
    : standin_server(io, "engine"),
      options_(std::move(options)),
      incarnation_(std::random_device{}()) {
  TakeSnapshot();
}

void engine_standin::Handle(standin_reply reply, const http_request& message) {
  const std::string_view path = TargetPath(message.target);
  constexpr std::string_view kCancel = "/v1/cancel/";
  if (path == "/v1/chat/completions") return Complete(reply, message);
  if (path == "/v1/load") return ShowLoad(reply);
  if (path == "/v1/orders") return HandleOrder(reply, message);
  if (path == "/v1/cache/events") return ShowCacheEvents(reply, message);
  if (path.rfind(kCancel, 0) == 0) return Cancel(reply, path.substr(kCancel.size()));
  if (path == "/v1/kv/export") return reply.Answer(200, R"({"handle":"kv","bytes":0})");
  if (path == "/v1/kv/import") return reply.Answer(204, "");
  reply.Answer(404, "{}");
}

void engine_standin::Complete(standin_reply reply, const http_request& message) {
  const std::vector<http_header> not_started = {{"X-Not-Started", "1"}};
  const auto request = nlohmann::json::parse(message.body, nullptr, false);
  if (!request.is_object()) return reply.Answer(400, R"({"error":"bad JSON"})");
  if (state_ != engine_state::kReady) return reply.Answer(503, "{}", not_started);
  if (!HasModel(request)) return reply.Answer(404, R"({"error":"model not loaded"})", not_started);
  if (waiting_.size() >= options_.queue) return reply.Answer(503, "{}", not_started);
  stream added;
  added.id = ++last_stream_;
  added.attempt = std::string(FindHeader(message.headers, "X-Request-Id"));
  added.reply = reply;
  added.model = request.value("model", "");
  added.seed = TokenSeed(request);
  added.prompt_tokens = PromptTokens(request);
  added.prefill_tokens = UncachedTokens(request);
  added.streamed = request.value("stream", false);
  const std::string offset(FindHeader(message.headers, "X-Resume-Offset"));
  added.next_token = offset.empty() ? 0 : std::strtoull(offset.c_str(), nullptr, 10);
  added.end_token = request.value("max_tokens", kDefaultOutputTokens);
  runs_[added.attempt] += 1;
  waiting_.push_back(added.id);
  streams_.emplace(added.id, std::move(added));
  StartWaiting();
}

bool engine_standin::HasModel(const nlohmann::json& request) const {
  const std::string wanted = request.value("model", "");
  return std::any_of(options_.models.begin(), options_.models.end(), [&](const loaded_model& m) {
    if (m.name == wanted || m.name + ":" + m.version == wanted) return true;
    return std::find(m.adapters.begin(), m.adapters.end(), wanted) != m.adapters.end();
  });
}

std::uint64_t engine_standin::UncachedTokens(const nlohmann::json& request) {
  std::uint64_t cached_tokens = 0;
  bool prefix = true;
  for (const std::uint64_t piece : PromptPieces(request)) {
    const bool known = std::find(cached_.begin(), cached_.end(), piece) != cached_.end();
    prefix = prefix && known;
    if (prefix) cached_tokens += kPieceTokens;
    if (!known) StorePiece(piece);
  }
  const std::uint64_t all = PromptTokens(request);
  return all > cached_tokens ? all - cached_tokens : 0;
}

void engine_standin::StorePiece(std::uint64_t piece) {
  cached_.push_back(piece);
  cache_events_.push_back({++last_cache_event_, true, piece});
  if (cached_.size() > kCachedPieces) {
    cache_events_.push_back({++last_cache_event_, false, cached_.front()});
    cached_.pop_front();
  }
  while (cache_events_.size() > kCacheEventsKept) cache_events_.pop_front();
}

void engine_standin::StartWaiting() {
  while (running_ < options_.streams && !waiting_.empty()) {
    const auto found = streams_.find(waiting_.front());
    waiting_.pop_front();
    if (found != streams_.end()) StartStream(found->second);
  }
}

void engine_standin::StartStream(stream& started) {
  started.running = true;
  running_ += 1;
  const auto now = std::chrono::steady_clock::now();
  const double prefill = static_cast<double>(started.prefill_tokens) / PrefillRate();
  prefill_free_at_ = std::max(prefill_free_at_, now) +
                     std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                         std::chrono::duration<double>(prefill));
  const auto wait = std::chrono::duration_cast<duration>(prefill_free_at_ - now);
  After(wait, [this, id = started.id] { Step(id); });
}

void engine_standin::Step(std::uint64_t id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  stream& running = found->second;
  if (running.streamed && running.text.empty()) {
    running.reply.Begin(200, {{"Content-Type", "text/event-stream"}});
  }
  if (running.next_token >= running.end_token) return FinishStream(running);
  SendToken(running);
  const std::uint32_t cut = faults().times != 0 ? faults().cut_after_tokens : 0;
  if (cut > 0 && running.next_token >= cut) return CutStream(id);
  After(duration(static_cast<std::int64_t>(1e6 / DecodeRate())), [this, id] { Step(id); });
}

void engine_standin::SendToken(stream& running) {
  const std::string token = TokenText(running.seed, running.next_token);
  running.next_token += 1;
  running.text += token;
  tokens_ += 1;
  if (!running.streamed) return;
  running.reply.Write(Event(running.next_token, Chunk(running.model, {{"content", token}}, false)));
}

void engine_standin::FinishStream(stream& finished) {
  completions_ += 1;
  if (finished.streamed) {
    finished.reply.Write(
        Event(finished.next_token, Chunk(finished.model, nlohmann::json::object(), true)));
    finished.reply.Write("data: [DONE]\n\n");
    finished.reply.End();
    return EraseStream(finished.id);
  }
  const nlohmann::json message = {{"role", "assistant"}, {"content", finished.text}};
  const nlohmann::json choice = {{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
  const nlohmann::json answer = {{"id", "chatcmpl-standin"},
                                 {"object", "chat.completion"},
                                 {"created", 0},
                                 {"model", finished.model},
                                 {"choices", nlohmann::json::array({choice})},
                                 {"usage",
                                  {{"prompt_tokens", finished.prompt_tokens},
                                   {"completion_tokens", finished.end_token},
                                   {"total_tokens", finished.prompt_tokens + finished.end_token}}}};
  finished.reply.Answer(200, answer.dump());
  EraseStream(finished.id);
}

void engine_standin::CutStream(std::uint64_t id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  cut_streams_ += 1;
  found->second.reply.Abort();
  EraseStream(id);
}

void engine_standin::EraseStream(std::uint64_t id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  if (found->second.running) running_ -= 1;
  streams_.erase(found);
  StartWaiting();
}

void engine_standin::OnCallerGone(request_id request) {
  for (const auto& [id, present] : streams_) {
    if (present.reply.request() != request) continue;
    EraseStream(id);
    return;
  }
}

void engine_standin::Cancel(standin_reply reply, std::string_view attempt) {
  for (auto& [id, present] : streams_) {
    if (present.attempt != attempt) continue;
    present.reply.Abort();
    EraseStream(id);
    return reply.Answer(204, "");
  }
  reply.Answer(404, "{}");
}

void engine_standin::ShowCacheEvents(standin_reply reply, const http_request& message) const {
  const std::uint64_t after = QueryNumber(message.target, "after", 0);
  nlohmann::json events = nlohmann::json::array();
  for (const cache_event& event : cache_events_) {
    if (event.sequence <= after) continue;
    char piece[17];
    std::snprintf(piece, sizeof(piece), "%016llx", static_cast<unsigned long long>(event.piece));
    events.push_back({{"seq", event.sequence}, {"stored", event.stored}, {"piece", piece}});
  }
  const bool gap = !cache_events_.empty() && cache_events_.front().sequence > after + 1;
  const nlohmann::json answer = {{"next", last_cache_event_}, {"gap", gap}, {"events", events}};
  reply.Answer(200, answer.dump());
}

void engine_standin::ShowLoad(standin_reply reply) const {
  const auto wanted = std::chrono::steady_clock::now() - faults().lag;
  if (faults().lag == duration(0)) return reply.Answer(200, Load().dump());
  for (auto it = snapshots_.rbegin(); it != snapshots_.rend(); ++it) {
    if (it->time <= wanted) return reply.Answer(200, it->load.dump());
  }
  reply.Answer(200, snapshots_.front().load.dump());
}

void engine_standin::TakeSnapshot() {
  constexpr std::size_t kSnapshotsKept = 200;
  snapshots_.push_back({std::chrono::steady_clock::now(), Load()});
  if (snapshots_.size() > kSnapshotsKept) snapshots_.pop_front();
  After(kSnapshotInterval, [this] { TakeSnapshot(); });
}

}  // namespace hawthorndrum
