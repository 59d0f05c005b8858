/// Finds the team that holds a key, and a team by its name.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "teams/team.h"

namespace hawthorndrum {

/** A key that several teams hold; it identifies none of them. */
struct shared_key {
  /** Positions of a team and of the key among the team's keys. */
  std::uint32_t team = 0;
  std::uint32_t key = 0;
};

/**
 * Keeps no text: lookups are given the list of teams that the index was built from, or an equal
 * one. Keys are looked up by a hash with a secret seed and then compared in constant time, so the
 * time that a lookup takes tells a caller nothing about the keys.
 *
 * Invariant: slot tables have a power of two slots, at most half of them taken.
 */
class key_index {
 public:
  key_index(boost::span<const team> teams, std::uint64_t secret);

  /** Returns the position of the team that holds the key. */
  std::optional<std::uint32_t> FindKey(boost::span<const team> teams, std::string_view key) const;
  /** Returns the position of the first team with that name. */
  std::optional<std::uint32_t> FindName(boost::span<const team> teams, std::string_view name) const;

  /** One entry for each key that teams of different names hold. */
  const std::vector<shared_key>& shared() const { return shared_; }
  /** Gives a shared key to the team at that position. */
  void Assign(boost::span<const team> teams, const shared_key& key, std::uint32_t team);

  std::size_t memory_bytes() const;

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct slot {
    std::uint64_t hash = 0;
    std::uint32_t team = kNone;
    std::uint32_t key = 0;
    /** The team that the key identifies. */
    std::uint32_t holder = kNone;
  };

  static std::vector<slot> TableFor(std::size_t entries);
  std::uint64_t HashOf(std::string_view text) const;
  /** Returns the slot of the key, or the free one where it belongs. */
  std::size_t SlotOf(boost::span<const team> teams, std::string_view key) const;
  void AddKey(boost::span<const team> teams, std::uint32_t team, std::uint32_t key);

  std::uint64_t secret_;
  std::vector<slot> keys_;
  /** Positions of teams by name. */
  std::vector<slot> names_;
  std::vector<shared_key> shared_;
};

}  // namespace hawthorndrum
