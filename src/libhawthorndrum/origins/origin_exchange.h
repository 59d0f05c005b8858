/// Decides which daemons remember the origin of a stream, and asks them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/units.h"
#include "origins/origin_message.h"
#include "origins/stream_origin_table.h"
#include "origins/stream_origins.h"

namespace hawthorndrum {

class daemon_directory;
class origin_listener;
class origin_sender;

/**
 * A stream's origin is sent when its first event is, to the first daemons by rendezvous hash of the
 * stream in the own data centre and in several, so that it outlives its daemon and the data
 * centre. A daemon that is asked to resume the stream computes the same daemons and asks them, then
 * more of them, since two daemons' lists of the fleet may differ.
 *
 * Invariant: questions_ has one entry for each stream whose origin is being asked for.
 */
class origin_exchange : public stream_origins {
 public:
  /** Daemons of the own data centre that remember a stream, and daemons of several. */
  static constexpr std::size_t kHolders = 2;
  /** The same for the second round of questions. */
  static constexpr std::size_t kSecondRoundHolders = 6;
  static constexpr duration kFirstRoundTime = milliseconds(60);
  static constexpr duration kLongestQuestion = milliseconds(250);
  /** Streams that a stopping daemon hands over at each tick. */
  static constexpr std::size_t kHandedOverAtOnce = 128;

  origin_exchange(const daemon_directory& daemons, origin_sender& sender, std::string own_name,
                  std::string own_data_centre);

  /** Sets who is told the results of questions; called once, before the first question. */
  void SetListener(origin_listener& listener) { listener_ = &listener; }

  void Record(const stream_origin& origin, time_point now) override;
  std::optional<software_build> Find(stream_key key, time_point now) const override;
  void Ask(stream_key key, time_point now) override;

  void OnMessage(const origin_message& message, const std::string& from, time_point now);
  /** Sends what this daemon remembers to other daemons, some of it at each tick; it will stop. */
  void HandOver();
  /** Begins second rounds and ends questions that nobody answered. */
  void Run(time_point now);

  std::size_t remembered() const { return table_.size(); }

 private:
  struct question {
    time_point asked_at;
    bool second_round = false;
    std::vector<std::string> unanswered;
    std::vector<std::string> asked;
  };

  /**
   * Returns the addresses of the first `count` daemons of the own data centre and of the first
   * `count` of all, of which no data centre has more than half.
   */
  std::vector<std::string> Holders(stream_key key, std::size_t count) const;
  void HandOverSome();
  void SendQuestions(stream_key key, question& open, std::size_t holders);
  void BeginSecondRound(stream_key key, question& open);
  void Answer(const origin_message& questions, const std::string& to, time_point now);
  void OnAnswer(const stream_origin& origin, const std::string& from, time_point now);
  void End(stream_key key, std::optional<software_build> build);

  const daemon_directory& daemons_;
  origin_sender& sender_;
  origin_listener* listener_ = nullptr;
  std::string own_name_;
  std::string own_data_centre_;
  stream_origin_table table_;
  std::map<stream_key, question> questions_;
  std::vector<stream_origin> to_hand_over_;
};

}  // namespace hawthorndrum
