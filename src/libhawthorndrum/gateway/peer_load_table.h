/// The load that the other daemons last reported in their notices.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/load_notice.h"

namespace hawthorndrum {

class fleet_table;
class reachability_monitor;

/**
 * Keeps the last notice of each daemon of this data centre that sends to this one, and the last
 * digest of each data centre, for kNoticeExpiry. Adds them up in the rows of the fleet table.
 *
 * Invariant: the sum excludes this daemon's own work if the digest names the notice that it took
 * the work from and that notice is one of this daemon's last few.
 */
class peer_load_table {
 public:
  /** Several times the longest period between two notices. */
  static constexpr duration kNoticeExpiry = milliseconds(1500);
  /** A peer's report of failures is ignored if the upstream answered this recently. */
  static constexpr duration kRecentAnswerWindow = milliseconds(150);

  peer_load_table(fleet_table& fleet, reachability_monitor& reachability, incarnation_id self,
                  std::string own_data_centre);

  void OnNotice(const load_notice& notice, time_point now);
  /** Removes expired notices and adds up the rest. */
  void Run(time_point now);

  /** Remembers this daemon's own notice, to subtract it from digests. */
  void RecordOwnNotice(const load_notice& own);
  /** Returns the sum of this daemon's notice and its members' notices. */
  load_notice MakeDigest(const load_notice& own, time_point now) const;
  /**
   * Returns the rate of prompt tokens to prefill that the other daemons reported for a service.
   */
  std::uint64_t PrefillTokensPerSecond(const std::string& service) const;
  /** Returns the mean of the speeds that daemons estimated; zero when none did. */
  double MeanPrefillTokensPerMs(const std::string& service) const;
  /** Returns whether daemons of this data centre send this one their notices. */
  bool HasMembers() const { return !members_.empty(); }
  /** The latest versions that any received notice has named. */
  std::uint64_t newest_config_version() const { return newest_config_version_; }
  std::uint64_t newest_fleet_revision() const { return newest_fleet_revision_; }
  /** Revisions are given out again. */
  void ForgetFleetRevision() { newest_fleet_revision_ = 0; }
  /** Returns when the last digest of this data centre was received, if that host sent it. */
  time_point DigestReceivedAt(const std::string& host) const;

 private:
  struct peer_row {
    load_notice last;
    time_point received_at;
  };

  /** Stores the notice unless a later one of the same sender has been received. */
  bool StoreIfNewer(peer_row& row, const load_notice& notice, time_point now);
  void ApplyAvoidances(const load_notice& notice, time_point now);
  void AddPeerWork(const load_notice& notice);
  void SubtractOwnWork(const load_notice& digest);
  /** Returns this daemon's notice that the digest includes; null when it is not known. */
  const load_notice* OwnNoticeIn(const load_notice& digest) const;
  template <typename Rows>
  void RemoveExpired(Rows& rows, time_point now);

  fleet_table& fleet_;
  reachability_monitor& reachability_;
  incarnation_id self_;
  std::string own_data_centre_;
  std::map<incarnation_id, peer_row> members_;
  std::map<std::string, peer_row> digests_;
  /** This daemon's notices that digests may still include, oldest first. */
  std::deque<load_notice> own_notices_;
  bool changed_ = false;
  std::uint64_t newest_config_version_ = 0;
  std::uint64_t newest_fleet_revision_ = 0;
};

}  // namespace hawthorndrum
