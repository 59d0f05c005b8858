/// Reads and watches the head.
#include "systems/config_store_watch.h"

#include <algorithm>

#include "ports/random_source.h"
#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

constexpr duration kReadTimeout = seconds(2);
constexpr duration kWatchTimeout = seconds(4);
constexpr duration kInitialBackoff = milliseconds(250);
constexpr duration kMaxBackoff = seconds(2);

}  // namespace

config_store_watch::config_store_watch(object_store& store, random_source& random,
                                       metrics_registry& metrics, store_head_listener& listener)
    : store_(store),
      random_(random),
      listener_(listener),
      calls_(metrics.Counter("hawthorndrum_config_store_head_calls_total")),
      failures_(metrics.Counter("hawthorndrum_config_store_head_failures_total")) {}

void config_store_watch::ReadSoon() {
  if (step_ == step::kWatch) open_ = store_call_id();
  step_ = step::kRead;
  next_call_ = now_;
}

void config_store_watch::Run(time_point now) {
  now_ = now;
  if (open_ || now < next_call_) return;
  if (step_ == step::kWatch && !watching_) return;
  Submit();
}

void config_store_watch::Submit() {
  store_call call;
  call.key = std::string(kConfigHeadKey);
  call.timeout = kReadTimeout;
  if (step_ == step::kList) call.operation = store_operation::kList;
  if (step_ == step::kWatch) {
    call.operation = store_operation::kWatch;
    call.expected = revision_;
    call.timeout = kWatchTimeout;
  }
  calls_.Add();
  open_ = store_.Submit(std::move(call), *this);
}

void config_store_watch::OnStoreAnswer(store_call_id id, const store_answer& answer) {
  if (id != open_) return;
  open_ = store_call_id();
  const bool refused =
      answer.outcome == store_outcome::kRefused || answer.outcome == store_outcome::kUnknown;
  if (refused) return OnFailure();
  answering_ = true;
  backoff_ = duration(0);
  switch (step_) {
    case step::kRead:
      return OnRead(answer);
    case step::kList:
      return OnListed(answer);
    case step::kWatch:
      return OnWatched(answer);
  }
}

void config_store_watch::OnRead(const store_answer& answer) {
  step_ = step::kWatch;
  if (answer.outcome != store_outcome::kDone) return listener_.OnStoreHeadMissing();
  revision_ = std::max(revision_, answer.version);
  listener_.OnStoreHead(answer.value);
}

void config_store_watch::OnListed(const store_answer& answer) {
  revision_ = answer.version;
  step_ = step::kRead;
}

void config_store_watch::OnWatched(const store_answer& answer) {
  if (answer.outcome == store_outcome::kStale) {
    step_ = step::kList;
    return;
  }
  revision_ = std::max(revision_, answer.version);
  step_ = step::kRead;
}

void config_store_watch::OnFailure() {
  answering_ = false;
  failures_.Add();
  step_ = step::kRead;
  backoff_ = std::min(kMaxBackoff, std::max(kInitialBackoff, backoff_ * 2));
  const auto jitter = static_cast<duration::rep>(random_.Below(backoff_.count()));
  next_call_ = now_ + backoff_ / 2 + duration(jitter);
}

}  // namespace hawthorndrum
