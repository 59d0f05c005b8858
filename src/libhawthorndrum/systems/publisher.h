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
 * One publishing run. It reads the head and the parts concerned, writes new immutable parts, keeps
 * the head that it is about to replace as history, and then changes the head by conditional update:
 * the only step that puts anything into force. When another run wins, it reads again and goes on
 * unless the same service was changed.
 *
 * An answer lost at the head is settled: while the head's version is unchanged the same update is
 * sent again, so that at most one of the two can land; once it has changed, the publish id in the
 * head or in the history of the attempted generation tells.
 */
class publisher : public system, public store_listener {
 public:
  publisher(object_store& store, random_source& random, publish_request request);

  /** Starts at the first call; later ones resubmit calls that were refused or lost. */
  void Run(time_point now) override;
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

  bool ended() const { return result_.status != publish_status::kRunning; }
  const publish_result& result() const { return result_; }
  /** What the run does now, for a progress line. */
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
  void StageDone();
  void Queue(store_call call);
  void QueueRead(std::string key);
  void QueueCreate(std::string key, const std::string& value);
  void Fill();
  void RetryLater(store_call call);

  void OnHeadRead(const store_answer& answer);
  void OnHistoryRead(const store_call& call, const store_answer& answer);
  void OnPartRead(const store_call& call, const store_answer& answer);
  void OnHeadWritten(const store_call& call, const store_answer& answer);

  void StartSettling();
  void ReadNeeded();
  bool TakePages();
  bool TakeLeaves();
  void Plan();
  void WriteHead();
  void ReadHeadLater();
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
  time_point give_up_;
  time_point retry_at_;
  std::uint32_t retries_ = 0;

  /** Calls that wait to be submitted, that are open, and that wait to be repeated. */
  std::deque<store_call> queue_;
  std::unordered_map<store_call_id, store_call> open_;
  std::deque<store_call> delayed_;

  config_slice present_;
  std::string head_bytes_;
  object_version head_version_;
  bool head_read_ = false;
  generation base_;
  bool base_known_ = false;
  /** Bytes of parts by key; parts never change, so they are kept over a lost race. */
  std::map<std::string, std::string> parts_;
  publish_plan plan_;

  /** The generation of a head update whose answer was lost; 0 when there is none. */
  generation unsettled_;
  object_version unsettled_version_;
  std::string unsettled_head_;
};

}  // namespace hawthorndrum
