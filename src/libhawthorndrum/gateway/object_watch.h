/// Follows the objects of one kind in the platform's store: lists them, then watches for changes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

class event_log;
class object_reader;
class random_source;

/** What a part of a list said besides the objects, which the reader has handed on already. */
struct listed_part {
  /** Where the next part begins; empty after the last one. */
  std::string next_after;
  std::uint64_t revision = 0;
  /** The revision of the last change among the part's objects. */
  std::uint64_t newest_change = 0;
};

/** Why a call to the store did not bring what was asked. */
enum class store_trouble {
  /** The history before the watch's revision is gone. */
  kHistoryGone,
  /** The store turned the call away. */
  kRefused,
  /** No whole answer came. */
  kSilent,
};

/** Told when the view of the kind becomes whole. */
class object_watch_listener {
 public:
  virtual ~object_watch_listener() = default;
  virtual void OnListBegins() = 0;
  /** Every object of the kind was handed on since OnListBegins. */
  virtual void OnListComplete() = 0;
  /** The store answers again, after `silent_for`. */
  virtual void OnStoreBack(duration silent_for) = 0;
};

/**
 * One call is open at a time. A watch that fails goes on from the same revision; only a lost
 * history makes the objects be listed anew.
 */
class object_watch {
 public:
  object_watch(std::string kind, object_reader& reader, object_watch_listener& listener,
               random_source& random, event_log& log);

  /**
   * Every daemon pays for every call, so the more daemons there are the more changes each call
   * should bring: `pause` passes between a watch's answer and the next one.
   */
  void SetPace(duration pause, duration wait) {
    pause_ = pause;
    wait_ = wait;
  }

  /**
   * Another daemon knows of a change. When the open watch has not brought it a little later, its
   * connection or the store's memory of it is lost, and the objects are listed anew.
   */
  void OnWordOfNews(time_point now);

  /** The store's revision as far as this watch knows. */
  std::uint64_t revision() const { return revision_; }
  /** The revision of the last change of the kind's objects that is known. */
  std::uint64_t news_revision() const { return news_revision_; }

  /** Answers to a call other than the last one started are passed over. */
  void OnPart(std::uint64_t call, const listed_part& part, time_point now);
  /** `newest_change` is the revision of the last change; 0 when there was none. */
  void OnEvents(std::uint64_t call, std::uint64_t revision, std::uint64_t newest_change,
                time_point now);
  void OnTrouble(std::uint64_t call, store_trouble trouble, time_point now);
  /** Starts calls whose time has come; the first one at the first run. */
  void Run(time_point now);

 private:
  enum class phase { kListing, kWatching };

  void Succeeded(time_point now);
  void StartList();

  std::string kind_;
  object_reader& reader_;
  object_watch_listener& listener_;
  random_source& random_;
  event_log& log_;
  duration pause_{0};
  /** How long the store may hold a watch without changes. */
  duration wait_ = seconds(2);
  phase phase_ = phase::kListing;
  bool call_open_ = false;
  std::uint64_t call_ = 0;
  time_point call_began_;
  std::uint64_t news_revision_ = 0;
  time_point next_call_;
  std::string after_;
  std::uint64_t revision_ = 0;
  int failures_ = 0;
  time_point failed_since_;
};

}  // namespace hawthorndrum
