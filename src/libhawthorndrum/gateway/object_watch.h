/// Lists the objects of one kind in the platform's store, then watches them for changes.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

class event_log;
class object_reader;
class random_source;

/** The metadata of one part of a list; the reader has already delivered the part's objects. */
struct listed_part {
  /** The name after which the next part begins; empty in the last part. */
  std::string next_after;
  std::uint64_t revision = 0;
  /** The revision of the last change among the part's objects. */
  std::uint64_t newest_change = 0;
};

/** Why a call to the store failed. */
enum class store_trouble {
  /** The store no longer has the changes after the watch's revision. */
  kHistoryGone,
  /** The store answered with an error that may pass. */
  kRefused,
  /** The store does not accept the call, and would not accept it again. */
  kRejected,
  /** The store answered with a body that cannot be divided into objects. */
  kUnreadable,
  /** No complete answer was received. */
  kNoAnswer,
};

/** Is notified when a list begins and ends, and when the store answers again. */
class object_watch_listener {
 public:
  virtual ~object_watch_listener() = default;
  virtual void OnListBegins() = 0;
  /** Every object of the kind has been delivered since OnListBegins. */
  virtual void OnListComplete() = 0;
  /** Whether changes arrive without delay, as far as this watch can tell. */
  virtual void OnCurrent(bool is_current) = 0;
  /** The store answers again after an outage of this length. */
  virtual void OnStoreRecovered(duration outage) = 0;
  /** The store came back from an older copy; all objects are listed again. */
  virtual void OnStoreRestored() {}
};

/**
 * Has one call open at a time. A watch that fails is retried from the same revision. The objects
 * are listed again only if the store no longer has the history, if it came back from an older copy,
 * or if the watch missed a change that another daemon reports.
 */
class object_watch {
 public:
  object_watch(std::string kind, object_reader& reader, object_watch_listener& listener,
               random_source& random, event_log& log);

  /**
   * Sets the delay between a watch's answer and the next watch, and the longest time that the store
   * may hold a watch. All daemons share the store's capacity, so the more daemons there are, the
   * more changes each call should return.
   */
  void SetPace(duration pause, duration wait) {
    pause_ = pause;
    wait_ = wait;
  }

  /**
   * Another daemon reports a change that this watch has not received. If the open watch has been
   * running long enough to have received it, its connection or the store's state for it is lost,
   * and the objects are listed again.
   */
  void OnNewerRevisionReported(time_point now);

  /** The latest revision of the store that this watch has seen. */
  std::uint64_t revision() const { return revision_; }
  /** The revision of the last known change to an object of this kind. */
  std::uint64_t last_change_revision() const { return last_change_revision_; }

  /** Ignores answers to any call but the last one started; so do the two functions below. */
  void OnListPart(std::uint64_t call, const listed_part& part, time_point now);
  /** `newest_change` is the revision of the last change, 0 if there was none. */
  void OnEvents(std::uint64_t call, std::uint64_t revision, std::uint64_t newest_change,
                time_point now);
  void OnCallFailed(std::uint64_t call, store_trouble trouble, time_point now);
  /**
   * Notes the store's era, which rises when it comes back from an older copy and gives revisions
   * out again; nothing where it names none. Returns whether the answer to the call is still of use:
   * after a change of era the objects are listed again instead.
   */
  bool AcceptEra(std::uint64_t call, std::optional<std::uint64_t> era, time_point now);
  std::optional<std::uint64_t> era() const { return era_; }
  /** Whether the call is the one that is open; the answer to any other one is to be ignored. */
  bool IsOpen(std::uint64_t call) const { return call_open_ && call == call_; }
  /**
   * Sets whether another daemon reads the changes for this one. While it does, no call is started
   * once all objects are listed, and the open one is abandoned.
   */
  void SetHeld(bool held);
  /** Another daemon read all changes up to the revision. */
  void AdvanceTo(std::uint64_t revision, std::uint64_t newest_change);
  /** Whether all objects are listed. */
  bool is_listed() const { return phase_ == phase::kWatching; }
  /** Starts the next call if it is due; the first call is due at the first run. */
  void Run(time_point now);

 private:
  enum class phase { kListing, kWatching };

  void OnCallSucceeded(time_point now);
  void StartList();

  std::string kind_;
  object_reader& reader_;
  object_watch_listener& listener_;
  random_source& random_;
  event_log& log_;
  duration pause_{0};
  /** The longest time that the store may hold a watch without changes. */
  duration wait_ = seconds(2);
  phase phase_ = phase::kListing;
  bool call_open_ = false;
  std::uint64_t call_ = 0;
  time_point call_start_;
  std::uint64_t last_change_revision_ = 0;
  time_point next_call_;
  std::string after_;
  /** The names behind which the list has gone on. */
  std::set<std::string> continued_after_;
  std::uint64_t revision_ = 0;
  std::optional<std::uint64_t> era_;
  bool held_ = false;
  int failures_ = 0;
  time_point failed_since_;
  /** What the listener was told last. */
  bool is_current_ = true;

  void SetCurrent(bool is_current);
};

}  // namespace hawthorndrum
