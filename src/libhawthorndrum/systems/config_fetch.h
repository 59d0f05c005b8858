/// Fetches the parts of a new generation from peers or the object store.
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

/** Receives fetched parts; OnPart returns whether the bytes match the digest and are valid. */
class part_listener {
 public:
  virtual ~part_listener() = default;
  virtual bool OnPart(const content_digest& digest, const std::string& bytes) = 0;
};

/**
 * Requests parts from peers that have the generation, a bounded batch from each. Uses the store
 * when it is preferred or when no peer is left. A source that does not answer in time, lacks a part
 * or sends a damaged one is not asked again for this generation while another source is left.
 */
class config_fetch : public store_listener {
 public:
  config_fetch(object_store& store, peer_port& peers, random_source& random,
               metrics_registry& metrics, part_listener& listener);

  /**
   * Forgets sources and open requests, to fetch another generation. With `prefer_store` the store
   * is asked first; it is never asked before `store_from`.
   */
  void Restart(bool prefer_store, time_point store_from);
  /** Adds a peer that has the generation being fetched, or a later one. */
  void AddHolder(peer_id peer);

  void Run(time_point now, const std::vector<content_digest>& wanted);
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;
  /** Handles a peer's answer; `found` is false when the peer does not have the part. */
  void OnPeerPart(peer_id from, const content_digest& digest, bool found, const std::string& bytes);

 private:
  /** An open request for a part; `peer` is 0 when the store was asked. */
  struct open_request {
    peer_id peer;
    time_point deadline;
  };

  void Expire();
  void RequestFromPeers(const std::vector<content_digest>& wanted);
  void RequestFromStore(const std::vector<content_digest>& wanted);
  void RemoveHolder(peer_id peer);
  /** Delays the next request for a part that the store lacks or returned damaged. */
  void DelayStoreRetry(const content_digest& digest);
  bool HasOpenRequest(peer_id peer) const;
  bool ShouldUseStore() const;
  std::vector<content_digest> NotRequested(const std::vector<content_digest>& wanted,
                                           std::size_t limit) const;

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
