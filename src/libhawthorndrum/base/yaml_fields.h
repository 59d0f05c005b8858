/// Reads the typed members of a YAML map and collects findings about them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/findings.h"
#include "base/units.h"
#include "base/yaml_node.h"

namespace hawthorndrum {

/**
 * Reads the members of a map by key. A missing or invalid member leaves the target unchanged; an
 * invalid one also adds a finding. Call ReportUnknown last: it adds a finding for each member that
 * no call has read.
 */
class yaml_fields {
 public:
  yaml_fields(const yaml_node& node, findings& found);

  /** Returns whether the node is a map; if not, the constructor added a finding. */
  bool valid() const { return valid_; }

  bool Text(std::string_view key, std::string& target);
  bool Flag(std::string_view key, bool& target);
  bool Duration(std::string_view key, duration& target, duration min, duration max);
  bool Bytes(std::string_view key, std::uint64_t& target, std::uint64_t min, std::uint64_t max);
  bool Number(std::string_view key, double& target, double min, double max);
  bool Whole(std::string_view key, std::uint32_t& target, std::uint32_t min, std::uint32_t max);
  /** Reads an `ip:port`. */
  bool Address(std::string_view key, std::string& target);
  bool AddressList(std::string_view key, std::vector<std::string>& target);
  /** Reads one of the words; sets `target` to its index in `words`. */
  bool Choice(std::string_view key, const std::vector<std::string_view>& words,
              std::size_t& target);

  /** Returns the member's node, or nullptr, and counts the member as read. */
  const yaml_node* Child(std::string_view key);
  bool Has(std::string_view key) const;
  /** Returns the location of the member's key, or of the map when the member is missing. */
  source_location LocationOf(std::string_view key) const;

  /** Adds a finding when the member is missing. */
  void Require(std::string_view key, std::string_view hint);
  void ReportUnknown();

 private:
  const yaml_member* Find(std::string_view key) const;
  const yaml_member* Lookup(std::string_view key);
  const yaml_member* LookupScalar(std::string_view key);
  void AddFinding(const yaml_node& at, std::string_view key, std::string_view message);

  const yaml_node& node_;
  findings& found_;
  std::vector<std::string_view> read_keys_;
  bool valid_;
};

/** Returns whether the text is an IPv4 or bracketed IPv6 address, a colon and a port. */
bool IsAddress(std::string_view text);

}  // namespace hawthorndrum
