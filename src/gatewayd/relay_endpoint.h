/// The endpoint for requests that other daemons pass on.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

#include "gateway/daemon_directory.h"
#include "http_handler.h"
#include "ports/caller_port.h"
#include "ports/event_sink.h"
#include "relay/relay_headers.h"
#include "unread_refusals.h"

namespace hawthorndrum {

/**
 * Posts the requests of listed daemons as events, and answers their questions for a newer
 * configuration. Those of other hosts are turned away, since the
 * headers between daemons are not for callers to set.
 */
class relay_endpoint : public http_handler {
 public:
  relay_endpoint(event_sink& events, daemon_directory& daemons)
      : events_(events), daemons_(daemons) {}

  /** Answers the question for a configuration newer than a version. */
  using config_answer = std::function<http_answer(std::uint64_t after)>;
  void ShareConfig(config_answer answer, caller_port& asking) {
    config_answer_ = std::move(answer);
    asking_ = &asking;
  }

  void SetRefusals(unread_refusals& refusals) { refusals_ = &refusals; }

  std::optional<http_answer> RefusalFor(std::string_view ip) override {
    if (daemons_.IsKnownHost(ip)) return std::nullopt;
    daemons_.RequestRefresh();
    http_answer refusal;
    refusal.status = 503;
    SetRelayAnswer({relay_outcome::kUnavailable, {}}, refusal.headers);
    return refusal;
  }
  void OnRequest(request_id request, http_request message) override {
    const auto after = ReadConfigQuestion(message.headers);
    if (after && config_answer_) return asking_->Answer(request, config_answer_(*after));
    events_.Post(request_arrived{request, std::move(message), true});
  }
  void OnCallerGone(request_id request) override { events_.Post(caller_gone{request}); }
  void OnRefusedUnread(std::uint64_t bytes, http_answer& refusal) override {
    SetRelayAnswer({relay_outcome::kUnavailable, {}}, refusal.headers);
    if (refusals_ != nullptr) refusals_->Record("daemons", bytes);
  }

 private:
  event_sink& events_;
  daemon_directory& daemons_;
  config_answer config_answer_;
  caller_port* asking_ = nullptr;
  unread_refusals* refusals_ = nullptr;
};

}  // namespace hawthorndrum
