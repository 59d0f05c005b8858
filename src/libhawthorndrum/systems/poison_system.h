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

/** kSuspect: the request may run only alone. kConvicted: it is refused. */
enum class fingerprint_standing { kClear, kSuspect, kConvicted };

/**
 * Adds a strike to each request that is in flight at an upstream when the upstream is lost. Removes
 * a strike when its upstream proves to be alive, when the request is answered completely, or when
 * another request is convicted of the same loss. Two strikes of different losses, or one loss while
 * running alone as a suspect, convict a request for kConvictedFor. Strikes and convictions are
 * shared with the peers.
 *
 * The number of rows is limited to about kMaxFingerprints: above it, and if no row has expired,
 * each check removes the suspect that changed longest ago.
 */
class poison_system : public system, public admin_section {
 public:
  static constexpr std::size_t kMaxFingerprints = 4096;
  static constexpr duration kConvictedFor = seconds(3600);
  static constexpr duration kSuspectFor = seconds(600);

  explicit poison_system(const request_ports& ports);

  fingerprint_standing StandingOf(std::uint64_t fingerprint, time_point now) const;
  /** Returns how long a convicted fingerprint is still refused. */
  duration ConvictedFor(std::uint64_t fingerprint, time_point now) const;

  /** Records that the upstream was lost while it ran the request. */
  void Lost(std::uint64_t fingerprint, const crash_event& event, bool alone, time_point now);
  /** Records that the request was answered completely, which removes its strikes. */
  void Answered(std::uint64_t fingerprint, time_point now);
  /**
   * Records that an attempt sent at `sent` has received bytes. If it was sent before this daemon
   * saw the loss `event`, and the bytes come well after it, the upstream is alive: the strikes of
   * that loss are withdrawn.
   */
  void Alive(const crash_event& event, time_point sent, time_point now);

  void OnMessage(const suspect_message& message, time_point now);
  /** Returns the fingerprint's strikes and conviction, as sent to peers. */
  fingerprint_update UpdateFor(std::uint64_t fingerprint, time_point now) const;

  /** Sends unsent updates to the peers. */
  void Flush(time_point now);
  void Run(time_point now) override;

  std::string_view name() const override { return "poison"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  /** `clear` {"fingerprint": "hex"}: removes its strikes and its conviction. */
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  bool AddStrike(fingerprint_row& row, const strike_update& update, time_point now);
  void ConvictIfDue(std::uint64_t fingerprint, time_point now);
  void RemoveExplainedStrikes(const std::vector<strike>& strikes,
                              std::uint64_t convicted_fingerprint);
  void WithdrawStrikes(const crash_event& event);
  bool HasStrikeFor(const crash_event& event) const;
  void CheckReports();
  void RemoveExpired(time_point now);
  void QueueUpdate(std::uint64_t fingerprint);
  void Send(const suspect_message& message, bool everywhere);

  request_ports ports_;
  fingerprint_table rows_;
  /** Updates that have not been sent to the peers yet. */
  suspect_message unsent_;
  time_point last_gossip_;
  time_point last_report_check_;
  std::size_t next_gossip_row_ = 0;
  counter& suspects_;
  counter& convictions_;
  counter& withdrawn_;
};

}  // namespace hawthorndrum
