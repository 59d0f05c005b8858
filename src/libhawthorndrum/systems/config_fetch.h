/// Fetches the parts of a new generation from peers or the store.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/content_digest.h"
#include "base/metrics_registry.h"
#include "base/units.h"
#include "ports/object_store.h"
#include "ports/peer_port.h"

namespace hawthorndrum {

class random_source;

/** Gets the bytes fetched; returns whether they were what the digest names. */
class part_listener {
 public:
  virtual ~part_listener() = default;
  virtual bool OnPart(const content_digest& digest, const std::string& bytes) = 0;
};

/**
 * Asks peers that hold the generation, a bounded batch each, and the store when it is told to
 * prefer it or when no peer is left. A source that does not answer in time, lacks a part or sends a
 * damaged one is not asked again for this generation while there is another.
 */
class config_fetch : public store_listener {
 public:
  config_fetch(object_store& store, peer_port& peers, random_source& random,
               metrics_registry& metrics, part_listener& listener);

  /**
   * Forgets sources and open requests: another generation is wanted. With `prefer_store` the store
   * is asked first; before `store_from` it is not asked at all.
   */
  void Restart(bool prefer_store, time_point store_from);
  /** The peer has the generation that is wanted, or a later one. */
  void AddHolder(peer_id peer);

  void Run(time_point now, const std::vector<content_digest>& wanted);
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;
  /** A part that a peer sent, or with `found` false does not have. */
  void OnPeerPart(peer_id from, const content_digest& digest, bool found, const std::string& bytes);

 private:
  /** A part that was asked for. `peer` is 0 when the store was asked. */
  struct open_request {
    peer_id peer;
    time_point deadline;
  };

  void Expire();
  void AskPeers(const std::vector<content_digest>& wanted);
  void AskStore(const std::vector<content_digest>& wanted);
  void DropHolder(peer_id peer);
  /** The store lacks the part or gave a damaged one: it is not asked for for a moment. */
  void Rest(const content_digest& digest);
  bool IsAsked(peer_id peer) const;
  bool StoreIsNext() const;
  std::vector<content_digest> NotAskedFor(const std::vector<content_digest>& wanted,
                                          std::size_t most) const;

  object_store& store_;
  peer_port& peers_;
  random_source& random_;
  part_listener& listener_;
  counter& from_store_;
  counter& from_peers_;
  counter& bytes_;
  counter& damaged_;

  bool prefer_store_ = false;
  bool store_failed_ = false;
  time_point store_retry_;
  time_point now_;
  std::vector<peer_id> holders_;
  std::map<content_digest, open_request> open_;
  std::unordered_map<store_call_id, content_digest> store_calls_;
};

}  // namespace hawthorndrum
