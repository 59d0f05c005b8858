/// Finds the requests that crash the upstreams that run them.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

#include "base/units.h"
#include "ports/admin_section.h"
#include "systems/crash_event.h"
#include "systems/fingerprint_row.h"
#include "systems/request_ports.h"
#include "systems/suspect_message.h"
#include "systems/system.h"

namespace hawthorndrum {

class counter;

/** kSuspect: may run only alone. kConvicted: is refused. */
enum class fingerprint_standing { kClear, kSuspect, kConvicted };

/**
 * Each request that was in flight at an upstream when it was lost gets a strike. A strike goes
 * when its upstream proves to be alive, when the request is answered whole, or when another
 * request is convicted of the same loss. Two strikes of different losses, or a loss while running
 * alone as a suspect, convict for kConvictedFor. All of it is shared with the peers.
 *
 * Invariant: at most kMostFingerprints rows; the one that changed longest ago goes first.
 */
class poison_system : public system, public admin_section {
 public:
  static constexpr std::size_t kMostFingerprints = 4096;
  static constexpr duration kConvictedFor = seconds(3600);
  static constexpr duration kSuspectFor = seconds(600);

  explicit poison_system(const request_ports& ports);

  fingerprint_standing StandingOf(std::uint64_t fingerprint, time_point now) const;
  /** How long a convicted fingerprint is still refused. */
  duration ConvictedFor(std::uint64_t fingerprint, time_point now) const;

  /** The upstream was lost while it ran the request. */
  void Lost(std::uint64_t fingerprint, const crash_event& event, bool alone, time_point now);
  /** The request was answered whole. */
  void Answered(std::uint64_t fingerprint, time_point now);
  /** An attempt that was sent before `event` was seen still brings bytes, long after it. */
  void Alive(const crash_event& event, time_point sent, time_point now);

  void Hear(const suspect_message& message, time_point now);
  /** What is held against the fingerprint, to pass on. */
  fingerprint_news NewsOf(std::uint64_t fingerprint, time_point now) const;

  /** Sends what is new to the peers. */
  void Flush(time_point now);
  void Run(time_point now) override;

  std::string_view name() const override { return "poison"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  /** `clear` {"fingerprint": "hex"}: forgets what is held against it. */
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  bool AddStrike(fingerprint_row& row, const strike_news& news, time_point now);
  void Judge(std::uint64_t fingerprint, time_point now);
  void Exonerate(const std::vector<strike>& strikes, std::uint64_t culprit);
  void Withdraw(const crash_event& event);
  bool IsOpen(const crash_event& event) const;
  void ReadReports();
  void DropOld(time_point now);
  void Remember(std::uint64_t fingerprint);
  void Send(const suspect_message& message, bool everywhere);

  request_ports ports_;
  fingerprint_table rows_;
  /** What the peers have not been told yet. */
  suspect_message unsent_;
  time_point gossiped_;
  time_point read_reports_;
  std::size_t gossip_at_ = 0;
  counter& suspects_;
  counter& convictions_;
  counter& withdrawn_;
};

}  // namespace hawthorndrum
