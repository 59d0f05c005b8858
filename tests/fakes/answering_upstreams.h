/// A gateway with a host list, whose upstreams say in their answers that they leave or want time.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "gateway/upstream_directory.h"
#include "gateway_fixture.h"

namespace hawthorndrum {

/** Lists upstreams as a watch of the store does, and answers calls with further headers. */
class AnsweringUpstreamsTest : public GatewayFixtureTest {
 protected:
  AnsweringUpstreamsTest() : directory(served, clock, log) {}

  static upstream_entry Entry(const std::string& id, const std::string& service = "desk",
                              std::uint64_t born = 1, engine_stage stage = engine_stage::kNone) {
    upstream_entry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "10.0.0.1:80";
    entry.data_centre = "north";
    entry.stage = stage;
    entry.slots = service == "llm" ? 64 : 6;
    entry.born = born;
    return entry;
  }
  static upstream_entry Engine(const std::string& id, engine_stage stage) {
    return Entry(id, "llm", 1, stage);
  }
  /** Reads a list of exactly these entries. */
  void ListOnly(const std::vector<upstream_entry>& entries) {
    directory.OnListBegins();
    for (const upstream_entry& entry : entries) directory.Put(entry);
    directory.OnListComplete();
  }

  std::string SentTo(const fake_upstream_calls::record& sent) const {
    return std::string(FindHeader(sent.call.request.headers, "X-Hawthorndrum-Expect-Instance"));
  }
  std::string SentTo() const { return SentTo(last()); }
  std::size_t SentCount(const std::string& id) const {
    std::size_t count = 0;
    for (const auto& sent : upstreams.sent) count += SentTo(sent) == id ? 1 : 0;
    return count;
  }

  /** Sends the head of an answer to the call with that index. */
  void HeadOf(std::size_t index, int status, std::vector<http_header> headers) {
    served.OnAttemptHead({upstreams.sent[index].call.attempt, status, std::move(headers)});
  }
  void Finish(std::size_t index) { served.OnAttemptFinished({upstreams.sent[index].call.attempt}); }
  /** Answers the call with that index and a short body. */
  void AnswerWith(std::size_t index, int status, std::vector<http_header> headers) {
    HeadOf(index, status, std::move(headers));
    served.OnAttemptBytes({upstreams.sent[index].call.attempt, "bytes"});
    Finish(index);
  }
  /** Turns the last call away. */
  void RefuseWith(std::vector<http_header> headers, int status = 503) {
    headers.push_back({"X-Hawthorndrum-Not-Executed", "1"});
    AnswerWith(upstreams.sent.size() - 1, status, std::move(headers));
  }
  /** Answers the last call with success. */
  void SucceedWith(std::vector<http_header> headers) {
    headers.push_back({"X-Hawthorndrum-Response-Seal", "seal"});
    AnswerWith(upstreams.sent.size() - 1, 200, std::move(headers));
  }
  /** Returns how many of that many requests, all open at once, the upstream gets. */
  std::size_t ShareOf(const std::string& id, int requests) {
    const std::size_t first = upstreams.sent.size();
    const std::size_t before = SentCount(id);
    for (int i = 0; i < requests; ++i) Ask(i % 2 == 0 ? "/look/x" : "/pay/x");
    const std::size_t share = SentCount(id) - before;
    const std::size_t end = upstreams.sent.size();
    for (std::size_t i = first; i < end; ++i)
      AnswerWith(i, 200, {{"X-Hawthorndrum-Response-Seal", "seal"}});
    return share;
  }

  upstream_directory directory;
};

}  // namespace hawthorndrum
