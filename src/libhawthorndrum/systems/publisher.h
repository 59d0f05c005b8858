/// Publishes a configuration through the object store.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "base/error.h"
#include "ports/object_store.h"
#include "systems/publish_plan.h"
#include "systems/system.h"

namespace hawthorndrum {

class random_source;

/**
 * One publishing run. It reads the head and the parts concerned, writes new immutable parts, saves
 * the head that it is about to replace in the history, and then replaces the head by
 * compare-and-set. Only that step puts anything into force. When another run updates the head
 * first, this one reads it again and continues unless the same service was changed.
 *
 * When the answer to the head update is lost, the run finds out what became of it. While the head's
 * version is unchanged, it sends the same update again, so that at most one of the two succeeds.
 * Once the version has changed, the publish id in the head, or in the history of the attempted
 * generation, shows whether the update succeeded.
 */
class publisher : public system, public store_listener {
 public:
  publisher(object_store& store, random_source& random, publish_request request);

  /** The first call starts the run; later ones resubmit store calls that were refused or lost. */
  void Run(time_point now) override;
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

  bool ended() const { return result_.status != publish_status::kRunning; }
  const publish_result& result() const { return result_; }
  /** Describes the current stage, for a progress line. */
  std::string progress() const;

 private:
  enum class stage {
    kReadHead,
    kSettle,
    kReadPages,
    kReadLeaves,
    kWriteParts,
    kWriteHistory,
    kWriteHead
  };

  void Enter(stage next);
  void OnStageDone();
  void Queue(store_call call);
  void QueueRead(std::string key);
  void QueueCreate(std::string key, const std::string& value);
  void SubmitQueued();
  void RetryLater(store_call call);

  void OnHeadRead(const store_answer& answer);
  void OnHistoryRead(const store_call& call, const store_answer& answer);
  void OnPartRead(const store_call& call, const store_answer& answer);
  void OnHeadWritten(const store_call& call, const store_answer& answer);

  void StartSettling();
  void QueuePartReads();
  bool DecodePages();
  bool DecodeLeaves();
  void Plan();
  void WriteHead();
  void ScheduleHeadRead();
  void Reject(const std::string& message);
  void End(publish_status status, std::string message);
  void GiveUp();

  object_store& store_;
  random_source& random_;
  publish_request request_;
  publish_result result_;

  stage stage_ = stage::kReadHead;
  bool started_ = false;
  time_point now_;
  time_point deadline_;
  time_point retry_at_;
  std::uint32_t retries_ = 0;

  /** Store calls to submit, calls in flight, and calls to retry later. */
  std::deque<store_call> queue_;
  std::unordered_map<store_call_id, store_call> open_;
  std::deque<store_call> delayed_;

  config_slice present_;
  std::string head_bytes_;
  object_version head_version_;
  bool head_read_ = false;
  generation base_;
  bool base_known_ = false;
  /** Bytes of parts by key. Parts are immutable, so they stay valid when the head is read again. */
  std::map<std::string, std::string> parts_;
  publish_plan plan_;

  /** The generation of a head update whose answer was lost; 0 when there is none. */
  generation unsettled_;
  object_version unsettled_version_;
  std::string unsettled_head_;
};

}  // namespace hawthorndrum
