/// A bucket of claims: the value of one object in the store.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "tables/claim_record.h"

namespace hawthorndrum {

/**
 * Claims that are committed together. `epoch` is the bucket's clock for expiry: a daemon raises it
 * after it has seen it unchanged for a whole epoch length on its own clock, so an epoch never lasts
 * less than that.
 */
struct claim_bucket {
  std::uint64_t epoch = 0;
  std::map<claim_name, claim_record> records;
  /** How often done records were moved into each shard of the archive; a missing entry means 0. */
  std::vector<std::uint64_t> moves;

  std::uint64_t Moves(std::uint32_t shard) const { return shard < moves.size() ? moves[shard] : 0; }
  void RaiseMoves(std::uint32_t shard) {
    if (shard >= moves.size()) moves.resize(shard + 1);
    moves[shard] += 1;
  }
  const claim_record* Find(const claim_name& name) const {
    const auto found = records.find(name);
    return found == records.end() ? nullptr : &found->second;
  }
};

/** An upper estimate of the bytes that the record takes in the stored value. */
std::size_t StoredSize(const claim_record& record);
std::size_t StoredSize(const claim_bucket& bucket);

std::string EncodeBucket(const claim_bucket& bucket);
expected<claim_bucket> DecodeBucket(std::string_view value);

/** Returns the bucket that holds the claim. */
std::uint32_t BucketOf(const claim_name& name, std::uint32_t buckets);

}  // namespace hawthorndrum
