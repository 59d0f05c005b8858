/// Open addressing tables of keys and names.
#include "teams/key_index.h"

#include "base/hash.h"
#include "base/mac.h"

namespace hawthorndrum {

namespace {

bool IsSame(std::string_view a, std::string_view b) {
  const auto bytes = [](std::string_view text) {
    return boost::span<const std::uint8_t>(reinterpret_cast<const std::uint8_t*>(text.data()),
                                           text.size());
  };
  return ConstantTimeEquals(bytes(a), bytes(b));
}

std::size_t KeysOf(boost::span<const team> teams) {
  std::size_t keys = 0;
  for (const team& each : teams) keys += each.keys.size();
  return keys;
}

}  // namespace

key_index::key_index(boost::span<const team> teams, std::uint64_t secret)
    : secret_(secret), keys_(TableFor(KeysOf(teams))), names_(TableFor(teams.size())) {
  for (std::uint32_t i = 0; i < teams.size(); ++i) {
    const std::uint64_t hash = HashOf(teams[i].name);
    std::size_t at = hash & (names_.size() - 1);
    while (names_[at].team != kNone && teams[names_[at].team].name != teams[i].name)
      at = (at + 1) & (names_.size() - 1);
    if (names_[at].team == kNone) names_[at] = {hash, i, 0, i};
    for (std::uint32_t k = 0; k < teams[i].keys.size(); ++k) AddKey(teams, i, k);
  }
}

std::vector<key_index::slot> key_index::TableFor(std::size_t entries) {
  std::size_t slots = 2;
  while (slots < 2 * entries) slots *= 2;
  return std::vector<slot>(slots);
}

std::uint64_t key_index::HashOf(std::string_view text) const { return Hash64(text, secret_); }

std::size_t key_index::SlotOf(boost::span<const team> teams, std::string_view key) const {
  const std::uint64_t hash = HashOf(key);
  std::size_t at = hash & (keys_.size() - 1);
  while (keys_[at].team != kNone) {
    const slot& taken = keys_[at];
    if (taken.hash == hash && IsSame(teams[taken.team].keys[taken.key], key)) break;
    at = (at + 1) & (keys_.size() - 1);
  }
  return at;
}

void key_index::AddKey(boost::span<const team> teams, std::uint32_t team, std::uint32_t key) {
  const std::string& text = teams[team].keys[key];
  slot& at = keys_[SlotOf(teams, text)];
  if (at.team == kNone) {
    at = {HashOf(text), team, key, team};
    return;
  }
  if (at.holder == kNone || teams[at.holder].name == teams[team].name) return;
  at.holder = kNone;
  shared_.push_back({team, key});
}

std::optional<std::uint32_t> key_index::FindKey(boost::span<const team> teams,
                                                std::string_view key) const {
  if (key.empty()) return std::nullopt;
  const slot& at = keys_[SlotOf(teams, key)];
  if (at.holder == kNone) return std::nullopt;
  return at.holder;
}

std::optional<std::uint32_t> key_index::FindName(boost::span<const team> teams,
                                                 std::string_view name) const {
  const std::uint64_t hash = HashOf(name);
  for (std::size_t at = hash & (names_.size() - 1); names_[at].team != kNone;
       at = (at + 1) & (names_.size() - 1)) {
    if (teams[names_[at].team].name == name) return names_[at].team;
  }
  return std::nullopt;
}

void key_index::Assign(boost::span<const team> teams, const shared_key& key, std::uint32_t team) {
  keys_[SlotOf(teams, teams[key.team].keys[key.key])].holder = team;
}

std::size_t key_index::memory_bytes() const {
  return (keys_.capacity() + names_.capacity()) * sizeof(slot) +
         shared_.capacity() * sizeof(shared_key);
}

}  // namespace hawthorndrum
