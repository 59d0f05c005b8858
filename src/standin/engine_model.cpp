/// Steps of the engine model.
#include "engine_model.h"

#include <algorithm>
#include <utility>

namespace hawthorndrum {

namespace {

constexpr std::uint64_t kDecodeChunkDivisor = 4;
constexpr double kDecodeStageSpeed = 0.5;
constexpr double kMinStepMs = 0.1;

}  // namespace

void engine_model::Prefill(std::uint64_t request, const prompt& asked, double now_ms) {
  job added;
  added.request = request;
  added.asked = asked;
  added.unread = Unread(asked);
  Add(std::move(added), now_ms);
}

void engine_model::Run(std::uint64_t request, const prompt& asked, bool is_prefilled,
                       double now_ms) {
  job added;
  added.request = request;
  added.asked = asked;
  added.runs = true;
  added.left = std::max<std::uint64_t>(1, asked.output_tokens);
  added.unread = is_prefilled ? 0 : Unread(asked);
  if (is_prefilled) Remember(asked);
  Add(std::move(added), now_ms);
}

void engine_model::Add(job added, double now_ms) {
  now_ms_ = std::max(now_ms_, now_ms);
  reading_.push_back(std::move(added));
}

void engine_model::ChangeStage(engine_stage stage) { target_ = stage; }

std::uint64_t engine_model::Unread(const prompt& asked) {
  std::uint64_t unread = asked.tokens();
  for (const prompt_part& part : asked.parts) {
    const auto found = held_.find(part.id);
    if (found == held_.end()) break;
    unread -= part.tokens;
    used_.splice(used_.begin(), used_, found->second);
  }
  return unread;
}

void engine_model::Remember(const prompt& asked) {
  for (const prompt_part& part : asked.parts) {
    const auto found = held_.find(part.id);
    if (found != held_.end()) {
      used_.splice(used_.begin(), used_, found->second);
      continue;
    }
    used_.push_front(part);
    held_[part.id] = used_.begin();
    held_tokens_ += part.tokens;
  }
  while (held_tokens_ > settings_.memory_tokens && !used_.empty()) {
    held_tokens_ -= used_.back().tokens;
    held_.erase(used_.back().id);
    used_.pop_back();
  }
}

std::uint64_t engine_model::ReadChunk(std::uint64_t tokens, double end_ms,
                                      std::vector<engine_model_event>& events) {
  std::uint64_t read = 0;
  while (!reading_.empty()) {
    job& first = reading_.front();
    if (first.runs && running_.size() >= settings_.slots) break;
    const std::uint64_t part = std::min(first.unread, tokens - read);
    first.unread -= part;
    read += part;
    if (first.unread > 0) break;
    Remember(first.asked);
    if (first.runs) {
      first.starts_ms = part > 0 ? end_ms + settings_.overhead_ms : end_ms;
      running_.push_back(std::move(first));
    } else {
      events.push_back(
          {engine_model_event::kind::kPrefilled, first.request, end_ms + settings_.overhead_ms});
    }
    reading_.pop_front();
  }
  return read;
}

void engine_model::Generate(double end_ms, std::vector<engine_model_event>& events) {
  for (auto it = running_.begin(); it != running_.end();) {
    if (it->starts_ms > end_ms) {
      ++it;
      continue;
    }
    it->generated += 1;
    it->left -= 1;
    const bool ended = it->left == 0;
    if (ended || it->generated % settings_.event_tokens == 0)
      events.push_back({engine_model_event::kind::kTokens, it->request, end_ms});
    if (ended) events.push_back({engine_model_event::kind::kEnded, it->request, end_ms});
    it = ended ? running_.erase(it) : std::next(it);
  }
}

double engine_model::Step(double start_ms, std::vector<engine_model_event>& events) {
  // A request may arrive just after the stage has changed; it runs to its end.
  const bool decodes = stage_ == engine_stage::kDecode || !running_.empty();
  const double speed = settings_.tokens_per_ms * (decodes ? kDecodeStageSpeed : 1);
  const std::uint64_t chunk = decodes ? settings_.chunk / kDecodeChunkDivisor : settings_.chunk;
  std::uint64_t waiting = 0;
  for (const job& each : reading_) waiting += each.unread;
  const double read_ms = static_cast<double>(std::min(chunk, waiting)) / speed;
  // A step takes some time even if it only passes prompts on that were held already.
  double end_ms = start_ms + std::max(read_ms, kMinStepMs);
  if (decodes)
    end_ms +=
        settings_.step_ms + settings_.step_ms_per_request * static_cast<double>(running_.size());
  ReadChunk(chunk, end_ms, events);
  if (decodes) Generate(end_ms, events);
  return end_ms;
}

void engine_model::Advance(double now_ms, std::vector<engine_model_event>& events) {
  while (now_ms_ < now_ms) {
    if (reading_.empty() && running_.empty()) {
      if (target_ != stage_) {
        stage_ = target_;
        away_until_ms_ = now_ms_ + settings_.change_ms;
        used_.clear();
        held_.clear();
        held_tokens_ = 0;
      }
      now_ms_ = now_ms;
      return;
    }
    if (now_ms_ < away_until_ms_) {
      now_ms_ = std::min(now_ms, away_until_ms_);
      continue;
    }
    now_ms_ = Step(now_ms_, events);
  }
}

}  // namespace hawthorndrum
