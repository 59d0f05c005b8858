/// Reads the typed fields of one YAML map and collects what is wrong with them.
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
 * Reads the members of a map one by one. A member that is missing leaves the target as it is; one
 * that is wrong adds a finding and leaves the target as it is. Call ReportUnknown last: it reports
 * the members that no reading call has asked for.
 */
class yaml_fields {
 public:
  yaml_fields(const yaml_node& node, findings& found);

  /** Whether the node is a map at all; when not, a finding was added. */
  bool valid() const { return valid_; }

  bool Text(std::string_view key, std::string& target);
  bool Flag(std::string_view key, bool& target);
  bool Duration(std::string_view key, duration& target, duration least, duration most);
  bool Bytes(std::string_view key, std::uint64_t& target, std::uint64_t least, std::uint64_t most);
  bool Number(std::string_view key, double& target, double least, double most);
  bool Whole(std::string_view key, std::uint32_t& target, std::uint32_t least, std::uint32_t most);
  /** An `ip:port`. */
  bool Address(std::string_view key, std::string& target);
  bool AddressList(std::string_view key, std::vector<std::string>& target);
  /** One of the words; `target` becomes its place in the list. */
  bool Choice(std::string_view key, const std::vector<std::string_view>& words,
              std::size_t& target);

  /** The member's node, or nullptr. Counts as asked for. */
  const yaml_node* Child(std::string_view key);
  bool Has(std::string_view key) const;
  /** The place of the member's key, or of the map when there is none. */
  place PlaceOf(std::string_view key) const;

  /** Adds a finding when the member is missing. */
  void Require(std::string_view key, std::string_view hint);
  void ReportUnknown();

 private:
  const yaml_member* Find(std::string_view key) const;
  const yaml_member* Ask(std::string_view key);
  const yaml_member* AskScalar(std::string_view key);
  void Complain(const yaml_node& at, std::string_view key, std::string_view message);

  const yaml_node& node_;
  findings& found_;
  std::vector<std::string_view> known_;
  bool valid_;
};

/** Whether the text is an IPv4 address or a bracketed IPv6 one, a colon and a port. */
bool IsAddress(std::string_view text);

}  // namespace hawthorndrum
