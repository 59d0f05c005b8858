/// Ranks daemons by rendezvous hashing, keyed by the names of both data centres.
#include "systems/relay_choice.h"

#include <algorithm>
#include <string>

#include "base/hash.h"

namespace hawthorndrum {

namespace {

std::vector<peer_id> RankByScore(std::uint64_t key, boost::span<const peer_id> daemons) {
  std::vector<peer_id> ranked(daemons.begin(), daemons.end());
  std::sort(ranked.begin(), ranked.end(), [key](peer_id a, peer_id b) {
    return RendezvousScore(key, a.value()) > RendezvousScore(key, b.value());
  });
  return ranked;
}

}  // namespace

std::vector<std::pair<peer_id, peer_id>> ChooseRelays(std::string_view own_data_centre,
                                                      boost::span<const peer_id> own,
                                                      std::string_view other_data_centre,
                                                      boost::span<const peer_id> other) {
  const std::string_view first = std::min(own_data_centre, other_data_centre);
  const std::string_view second = std::max(own_data_centre, other_data_centre);
  const std::uint64_t key = Hash64(std::string(first) + "\n" + std::string(second));
  const std::vector<peer_id> own_ranked = RankByScore(key, own);
  const std::vector<peer_id> other_ranked = RankByScore(key, other);
  const std::size_t count =
      std::min({kRelaysPerDataCentre, own_ranked.size(), other_ranked.size()});
  std::vector<std::pair<peer_id, peer_id>> pairs;
  for (std::size_t i = 0; i < count; ++i) pairs.emplace_back(own_ranked[i], other_ranked[i]);
  return pairs;
}

}  // namespace hawthorndrum
