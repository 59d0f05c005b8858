/// The evidence on what crashes upstreams, and what is convicted by it.
#pragma once

#include <cstddef>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "crashes/crash_evidence.h"
#include "crashes/suspect_row.h"

namespace hawthorndrum {

/** What a row of another daemon changed. */
struct merge_result {
  /** The own row has changed. */
  bool learned = false;
  /** Later answers known here refute losses in the other row. */
  bool refutes = false;
};

/**
 * Requests that run beside the one that crashes an upstream are lost with it and share parts with
 * it, so a loss proves nothing by itself. A suspect is convicted by kLossesToConvict losses since
 * the last answer that was begun with it at an upstream that lived on; losses that an already
 * convicted suspect explains do not count. Suspects that were never part of such an answer come
 * first, then those with more losses, up to kStrongEvidence, then the more specific ones.
 * Convictions follow from the rows alone, so daemons with the same evidence agree and later
 * evidence corrects them.
 *
 * Invariants: at most kMaxRows rows that are not convicted, and after a sweep at most kMaxConvicted
 * that are; the former never displace the latter.
 */
class crash_record : public crash_evidence {
 public:
  static constexpr std::size_t kLossesToConvict = 3;
  static constexpr std::size_t kStrongEvidence = 5;
  /** How long a loss counts while nothing is convicted by it. */
  static constexpr duration kLossLifetime = seconds(60);
  /** How long a row without losses stays, so that others can be told what refuted them. */
  static constexpr duration kRefutationLifetime = seconds(5);
  /** How long a conviction stays after the last request with the suspect, at any daemon. */
  static constexpr duration kConvictionLifetime = seconds(600);
  static constexpr std::size_t kMaxRows = 1024;
  static constexpr std::size_t kMaxConvicted = 1024;
  /** Suspects without a row whose last answer is remembered. */
  static constexpr std::size_t kMaxSound = 2048;

  void RecordLoss(boost::span<const suspect> suspects, const upstream_loss& loss,
                  time_point now) override;
  void RecordSound(boost::span<const suspect> suspects, time_point begun_at,
                   time_point now) override;
  suspect_id FindConvicted(boost::span<const suspect> suspects, time_point now) override;

  /** Adds what another daemon knows. */
  merge_result Merge(const suspect_row& other);
  /** Returns null if there is none. */
  const suspect_row* Find(suspect_id id) const;
  bool Convicts(suspect_id id);
  const std::unordered_set<suspect_id>& Convicted();
  /** Drops what is too old. */
  void Sweep(time_point now);
  std::size_t size() const { return rows_.size(); }

 private:
  suspect_row& RowOf(const suspect& about);
  /** Derives the convictions again if a row has changed. */
  void Judge();
  /** Drops the row with the least evidence among those that are not convicted. */
  void DropLeast();
  /** Drops the conviction that was not asked for the longest. */
  void DropOldestConviction();
  void RememberSound(suspect_id id, time_point begun_at);

  std::unordered_map<suspect_id, suspect_row> rows_;
  std::unordered_map<suspect_id, time_point> sound_;
  std::unordered_set<suspect_id> convicted_;
  bool changed_ = false;
};

}  // namespace hawthorndrum
