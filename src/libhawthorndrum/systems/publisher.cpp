/// Runs the stages of publishing.
#include "systems/publisher.h"

#include <algorithm>

#include "ports/random_source.h"
#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kMaxConcurrentCalls = 16;
constexpr duration kInitialRetryDelay = milliseconds(50);
constexpr duration kMaxRetryDelay = seconds(2);
constexpr std::uint32_t kMaxRetryDoublings = 6;
/** How many generations a run with `settle` searches for its publish id, the newest included. */
constexpr std::uint64_t kSettleDepth = 64;

bool IsRead(const store_call& call) { return call.operation == store_operation::kGet; }

bool HasPrefix(const std::string& key, std::string_view prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

publisher::publisher(object_store& store, random_source& random, publish_request request)
    : store_(store), random_(random), request_(std::move(request)) {}

void publisher::Run(time_point now) {
  now_ = now;
  if (ended()) return;
  if (!started_) {
    started_ = true;
    deadline_ = now + request_.timeout;
    Enter(stage::kReadHead);
  }
  if (now >= deadline_) {
    GiveUp();
    return;
  }
  if (!delayed_.empty() && now >= retry_at_) {
    queue_.insert(queue_.end(), delayed_.begin(), delayed_.end());
    delayed_.clear();
  }
  SubmitQueued();
}

std::string publisher::progress() const {
  switch (stage_) {
    case stage::kReadHead:
      return "reading the head";
    case stage::kSettle:
      return "settling an earlier write";
    case stage::kReadPages:
    case stage::kReadLeaves:
      return "reading what is in force";
    case stage::kWriteParts:
      return "writing parts, " + std::to_string(queue_.size() + open_.size()) + " left";
    case stage::kWriteHistory:
      return "saving the history";
    case stage::kWriteHead:
      return "putting it into force";
  }
  return {};
}

void publisher::Enter(stage next) {
  stage_ = next;
  retries_ = 0;
  switch (next) {
    case stage::kReadHead:
      QueueRead(std::string(kConfigHeadKey));
      return;
    case stage::kSettle:
      StartSettling();
      return;
    case stage::kReadPages:
    case stage::kReadLeaves:
      QueuePartReads();
      return;
    case stage::kWriteParts:
      for (const config_part& part : plan_.parts) QueueCreate(PartKey(part.digest), part.bytes);
      return;
    case stage::kWriteHistory:
      if (!head_version_) return Enter(stage::kWriteHead);
      QueueCreate(HistoryKey(present_.head.number), head_bytes_);
      return;
    case stage::kWriteHead:
      WriteHead();
      return;
  }
}

void publisher::OnStageDone() {
  switch (stage_) {
    case stage::kReadHead:
      return;  // OnHeadRead selects the next stage.
    case stage::kSettle:
      unsettled_ = generation();
      return Enter(stage::kReadPages);
    case stage::kReadPages:
      if (DecodePages()) Enter(stage::kReadLeaves);
      return;
    case stage::kReadLeaves:
      if (DecodeLeaves()) Plan();
      return;
    case stage::kWriteParts:
      return Enter(stage::kWriteHistory);
    case stage::kWriteHistory:
      return Enter(stage::kWriteHead);
    case stage::kWriteHead:
      return;  // OnHeadWritten selects the next stage.
  }
}

void publisher::Queue(store_call call) { queue_.push_back(std::move(call)); }

void publisher::QueueRead(std::string key) {
  store_call call;
  call.operation = store_operation::kGet;
  call.key = std::move(key);
  Queue(std::move(call));
}

void publisher::QueueCreate(std::string key, const std::string& value) {
  store_call call;
  call.operation = store_operation::kCreate;
  call.key = std::move(key);
  call.value = value;
  Queue(std::move(call));
}

void publisher::SubmitQueued() {
  while (!ended() && !queue_.empty() && open_.size() < kMaxConcurrentCalls) {
    store_call call = std::move(queue_.front());
    queue_.pop_front();
    const store_call_id id = store_.Submit(call, *this);
    open_.emplace(id, std::move(call));
  }
}

void publisher::RetryLater(store_call call) {
  delayed_.push_back(std::move(call));
  if (delayed_.size() > 1) return;
  duration wait =
      std::min(kMaxRetryDelay, kInitialRetryDelay * (1U << std::min(retries_, kMaxRetryDoublings)));
  retries_ += 1;
  wait += duration(static_cast<duration::rep>(random_.Below(wait.count())));
  retry_at_ = now_ + wait;
}

void publisher::OnStoreAnswer(store_call_id id, const store_answer& answer) {
  const auto found = open_.find(id);
  if (found == open_.end() || ended()) return;
  store_call call = std::move(found->second);
  open_.erase(found);

  const bool head_write = call.key == kConfigHeadKey && !IsRead(call);
  const bool no_answer =
      answer.outcome == store_outcome::kRefused || answer.outcome == store_outcome::kUnknown;
  if (head_write) {
    OnHeadWritten(call, answer);
  } else if (no_answer) {
    RetryLater(std::move(call));
  } else if (call.key == kConfigHeadKey) {
    OnHeadRead(answer);
  } else if (IsRead(call) && HasPrefix(call.key, kConfigHistoryPrefix)) {
    OnHistoryRead(call, answer);
  } else if (IsRead(call)) {
    OnPartRead(call, answer);
  }
  if (ended()) return;
  SubmitQueued();
  if (open_.empty() && queue_.empty() && delayed_.empty()) {
    OnStageDone();
    SubmitQueued();
  }
}

void publisher::OnHeadRead(const store_answer& answer) {
  present_ = config_slice();
  head_bytes_.clear();
  head_version_ = object_version();
  head_read_ = true;
  if (answer.outcome == store_outcome::kDone) {
    expected<config_head> head = DecodeHead(answer.value);
    if (!head) return Reject(head.error().message);
    present_.head = std::move(*head);
    head_bytes_ = answer.value;
    head_version_ = answer.version;
  }
  if (!base_known_) {
    base_known_ = true;
    base_ = request_.base ? request_.base : present_.head.number;
  }
  if (present_.head.number && present_.head.published.publish_id == request_.publish_id) {
    result_.number = present_.head.number;
    return End(publish_status::kPublished, {});
  }
  const bool may_still_succeed = unsettled_ && unsettled_version_ == head_version_;
  if (may_still_succeed) return Enter(stage::kWriteHead);
  Enter(stage::kSettle);
}

void publisher::StartSettling() {
  const generation newest = present_.head.number;
  if (unsettled_ && unsettled_ < newest) {
    QueueRead(HistoryKey(unsettled_));
  } else if (request_.settle) {
    const std::uint64_t depth = std::min(newest.value(), kSettleDepth);
    for (std::uint64_t back = 1; back < depth; ++back) {
      QueueRead(HistoryKey(generation(newest.value() - back)));
    }
  }
  if (queue_.empty()) OnStageDone();
}

void publisher::OnHistoryRead(const store_call& call, const store_answer& answer) {
  if (answer.outcome != store_outcome::kDone) return;
  const expected<config_head> head = DecodeHead(answer.value);
  if (!head || head->published.publish_id != request_.publish_id) return;
  result_.number = head->number;
  End(publish_status::kPublished, {});
}

void publisher::QueuePartReads() {
  std::set<content_digest> wanted;
  for (const service_change& change : request_.changes) {
    const std::size_t leaf = LeafOf(change.name);
    const std::size_t page = leaf / kLeavesPerPage;
    if (stage_ == stage::kReadPages) {
      wanted.insert(present_.head.pages[page]);
    } else {
      wanted.insert(present_.pages[page][leaf % kLeavesPerPage]);
    }
  }
  for (const content_digest& digest : wanted) {
    const std::string key = PartKey(digest);
    if (!digest.empty() && parts_.count(key) == 0) QueueRead(key);
  }
  if (queue_.empty()) OnStageDone();
}

void publisher::OnPartRead(const store_call& call, const store_answer& answer) {
  if (answer.outcome != store_outcome::kDone) return Reject("missing in the store: " + call.key);
  if (PartKey(content_digest::Of(answer.value)) != call.key) {
    return Reject("damaged in the store: " + call.key);
  }
  parts_[call.key] = answer.value;
}

bool publisher::DecodePages() {
  for (const service_change& change : request_.changes) {
    const std::size_t number = LeafOf(change.name) / kLeavesPerPage;
    const content_digest& digest = present_.head.pages[number];
    if (digest.empty()) {
      present_.pages[number] = config_page(kLeavesPerPage);
      continue;
    }
    expected<config_page> page = DecodePage(parts_[PartKey(digest)]);
    if (!page) {
      Reject(page.error().message);
      return false;
    }
    present_.pages[number] = std::move(*page);
  }
  return true;
}

bool publisher::DecodeLeaves() {
  for (const service_change& change : request_.changes) {
    const std::size_t number = LeafOf(change.name);
    const content_digest& digest = present_.pages[number / kLeavesPerPage][number % kLeavesPerPage];
    if (digest.empty() || present_.leaves.count(number) != 0) continue;
    expected<std::vector<config_entry>> leaf = DecodeLeaf(parts_[PartKey(digest)], number);
    if (!leaf) {
      Reject(leaf.error().message);
      return false;
    }
    present_.leaves[number] = std::move(*leaf);
  }
  return true;
}

void publisher::Plan() {
  plan_ = PlanPublish(present_, request_, base_);
  result_.changes = plan_.changes;
  result_.conflicts = plan_.conflicts;
  result_.number = present_.head.number;
  if (!plan_.conflicts.empty()) {
    return End(publish_status::kConflict,
               "changed by others since generation " + std::to_string(base_.value()));
  }
  if (plan_.changes.empty()) return End(publish_status::kUnchanged, {});
  if (!plan_.oversized.empty()) {
    return End(publish_status::kRejected,
               "more than 1 MiB of services in the part that holds " + plan_.oversized);
  }
  if (request_.dry_run) return End(publish_status::kPlanned, {});
  Enter(stage::kWriteParts);
}

void publisher::WriteHead() {
  store_call call;
  call.key = std::string(kConfigHeadKey);
  call.expected = head_version_;
  call.operation = head_version_ ? store_operation::kUpdate : store_operation::kCreate;
  call.value = unsettled_ ? unsettled_head_ : EncodeHead(plan_.head);
  Queue(std::move(call));
}

void publisher::OnHeadWritten(const store_call& call, const store_answer& answer) {
  switch (answer.outcome) {
    case store_outcome::kDone:
      result_.number = plan_.head.number;
      return End(publish_status::kPublished, {});
    case store_outcome::kRefused:
      return RetryLater(call);
    case store_outcome::kUnknown:
      unsettled_ = plan_.head.number;
      unsettled_version_ = call.expected;
      unsettled_head_ = call.value;
      return ScheduleHeadRead();
    default:
      return ScheduleHeadRead();
  }
}

void publisher::ScheduleHeadRead() {
  stage_ = stage::kReadHead;
  store_call read;
  read.key = std::string(kConfigHeadKey);
  RetryLater(std::move(read));
}

void publisher::Reject(const std::string& message) {
  End(unsettled_ ? publish_status::kUnknown : publish_status::kRejected, message);
}

void publisher::GiveUp() {
  if (unsettled_) {
    return End(publish_status::kUnknown, "the store's answer to the last write was lost");
  }
  const bool open_write = stage_ == stage::kWriteHead && !open_.empty();
  if (open_write) return End(publish_status::kUnknown, "the store has not answered the last write");
  End(publish_status::kGivenUp, "the store did not answer in time; nothing was put into force");
}

void publisher::End(publish_status status, std::string message) {
  result_.status = status;
  result_.message = std::move(message);
  queue_.clear();
  delayed_.clear();
}

}  // namespace hawthorndrum
