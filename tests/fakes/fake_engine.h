/// A fake engine with continuous batching, in simulated time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "event_queue.h"
#include "fake_upstream_port.h"
#include "ports/attempt_event.h"
#include "ports/load_report.h"
#include "systems/prefix_chain.h"

namespace hawthorndrum {

/** Callbacks through which an engine answers the daemon that sent the attempt. */
struct engine_listener {
  std::function<void(attempt_head)> head;
  std::function<void(attempt_bytes)> bytes;
  std::function<void(attempt_finished)> finished;
  std::function<void(attempt_lost)> lost;
};

/**
 * Each step prefills at most kChunk tokens, the most urgent prompts first, and generates one token
 * for each prefilled request in the batch. A body with the word CRASH makes the engine crash, for
 * kDownFor, once it is prefilled. The number after "out=" in the body is the answer's length.
 */
class fake_engine {
 public:
  static constexpr std::uint64_t kChunk = 256;
  static constexpr double kPrefillRate = 10000;
  static constexpr std::size_t kLargestBatch = 32;
  static constexpr duration kStep = milliseconds(10);
  static constexpr duration kStepPerRequest = std::chrono::microseconds(500);
  static constexpr duration kDownFor = seconds(2);

  fake_engine(event_queue& events, std::string address)
      : events_(events), address_(std::move(address)) {}

  void Take(const sent_attempt& sent, engine_listener listener) {
    if (is_down) return listener.lost({sent.attempt, attempt_failure::kNotConnected, false});
    job one;
    one.attempt = sent.attempt;
    one.listener = std::move(listener);
    const std::string& body = sent.request.body;
    one.crashes = body.find("CRASH") != std::string::npos;
    one.prefill_left = body.size() / kBytesPerToken;
    const std::size_t out = body.find("out=");
    one.length = out == std::string::npos ? 4 : std::stoull(body.substr(out + 4));
    const std::string_view offset = FindHeader(sent.request.headers, "X-Resume-Offset");
    one.next = offset.empty() ? 0 : std::stoull(std::string(offset));
    one.priority = std::stoi(std::string(FindHeader(sent.request.headers, "X-Priority")));
    one.streams = body.find("\"stream\":true") != std::string::npos;
    runs += 1;
    jobs_.push_back(std::move(one));
    if (!stepping_) Step();
  }

  void Cancel(attempt_id attempt) {
    jobs_.remove_if([&](const job& one) { return one.attempt == attempt; });
  }

  void Crash() {
    crashes += 1;
    is_down = true;
    incarnation += 1;
    std::list<job> lost;
    lost.swap(jobs_);
    lost.sort([](const job& a, const job& b) { return a.crashes > b.crashes; });
    for (job& one : lost) {
      // Bytes in flight still arrive, and a request on a kept-alive connection may have been
      // retried.
      if (one.has_head) MakeToken(one);
      one.listener.lost({one.attempt,
                         one.has_head || one.attempt.value() % 2 == 0
                             ? attempt_failure::kConnectionLost
                             : attempt_failure::kNotConnected,
                         true});
    }
    events_.After(kDownFor, [this] { is_down = false; });
  }

  load_report Report() const {
    load_report report;
    report.engine_incarnation = incarnation;
    report.models = {{"m", "1", {}}};
    for (const job& one : jobs_) {
      if (one.in_batch) {
        report.running += 1;
      } else {
        report.queued += 1;
      }
      report.queued_prefill_tokens += one.prefill_left;
    }
    report.prefill_tokens_per_second = kPrefillRate;
    const double batch = std::max<double>(1, report.running);
    report.decode_tokens_per_second =
        batch / ToSeconds(kStep + kStepPerRequest * static_cast<int>(batch));
    return report;
  }

  const std::string& address() const { return address_; }
  std::size_t jobs() const { return jobs_.size(); }

  std::uint64_t incarnation = 1;
  bool is_down = false;
  int crashes = 0;
  int runs = 0;

 private:
  struct job {
    attempt_id attempt;
    engine_listener listener;
    bool crashes = false;
    bool streams = false;
    bool in_batch = false;
    bool has_head = false;
    int priority = 0;
    std::uint64_t prefill_left = 0;
    std::uint64_t next = 0;
    std::uint64_t length = 0;
  };

  void Step() {
    stepping_ = !jobs_.empty();
    if (!stepping_) return;
    FillBatch();
    std::uint64_t chunk = 0;
    std::size_t decoding = 0;
    for (job& one : jobs_) {
      if (!one.in_batch) continue;
      if (one.prefill_left > 0 && chunk < kChunk) {
        const std::uint64_t part = std::min(one.prefill_left, kChunk - chunk);
        one.prefill_left -= part;
        chunk += part;
      }
      if (one.prefill_left == 0) decoding += 1;
    }
    const auto prefill = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(static_cast<double>(chunk) / kPrefillRate));
    const duration took = kStep + kStepPerRequest * static_cast<int>(decoding) + prefill;
    events_.After(took, [this] { EndStep(); });
  }

  void FillBatch() {
    const auto in_batch = static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](const job& one) { return one.in_batch; }));
    jobs_.sort([](const job& a, const job& b) { return a.priority > b.priority; });
    std::size_t room = kLargestBatch - std::min(kLargestBatch, in_batch);
    for (job& one : jobs_) {
      if (room == 0) return;
      if (one.in_batch) continue;
      one.in_batch = true;
      room -= 1;
    }
  }

  void EndStep() {
    if (std::any_of(jobs_.begin(), jobs_.end(), [](const job& one) {
          return one.crashes && one.in_batch && one.prefill_left == 0;
        })) {
      Crash();
    }
    for (auto one = jobs_.begin(); one != jobs_.end();) {
      const bool ends = one->in_batch && one->prefill_left == 0 && MakeToken(*one);
      one = ends ? jobs_.erase(one) : std::next(one);
    }
    Step();
  }

  /** Returns whether it was the request's last token. */
  bool MakeToken(job& one) {
    one.next += 1;
    const bool last = one.next >= one.length;
    if (!one.streams) {
      if (!last) return false;
      one.listener.head({one.attempt, 200, {}});
      one.listener.bytes({one.attempt, "whole answer"});
      one.listener.finished({one.attempt});
      return true;
    }
    if (!one.has_head) one.listener.head({one.attempt, 200, {}});
    one.has_head = true;
    const std::string number = std::to_string(one.next);
    std::string bytes = "id: " + number + "\ndata: " + number + "\n\n";
    if (last) bytes += "data: [DONE]\n\n";
    one.listener.bytes({one.attempt, bytes});
    if (last) one.listener.finished({one.attempt});
    return last;
  }

  event_queue& events_;
  std::string address_;
  std::list<job> jobs_;
  bool stepping_ = false;
};

}  // namespace hawthorndrum
