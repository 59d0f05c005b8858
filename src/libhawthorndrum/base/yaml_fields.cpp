/// Reads the typed members of a YAML map.
#include "base/yaml_fields.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "base/quantity.h"
#include "base/spelling.h"

namespace hawthorndrum {
namespace {

constexpr double kHighestPort = 65535;

std::string FormatNumber(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

std::string RangeText(const std::string& min, const std::string& max) {
  return "must be from " + min + " to " + max;
}

bool IsIp(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
    return inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), parsed.data()) == 1;
  }
  return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1;
}

}  // namespace

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view digits = text.substr(colon + 1);
  if (digits.empty() || digits.find_first_not_of("0123456789") != std::string_view::npos) {
    return false;
  }
  const expected<double> port = ParseNumber(digits);
  if (!port || *port < 1 || *port > kHighestPort) return false;
  return IsIp(std::string(text.substr(0, colon)));
}

yaml_fields::yaml_fields(const yaml_node& node, findings& found)
    : node_(node), found_(found), valid_(node.kind == yaml_kind::kMap) {
  if (!valid_) found_.Add(node.where, "expected keys with values");
}

const yaml_member* yaml_fields::Find(std::string_view key) const {
  for (const yaml_member& member : node_.members) {
    if (member.key == key) return &member;
  }
  return nullptr;
}

const yaml_member* yaml_fields::Lookup(std::string_view key) {
  read_keys_.push_back(key);
  return Find(key);
}

const yaml_member* yaml_fields::LookupScalar(std::string_view key) {
  const yaml_member* member = Lookup(key);
  if (member == nullptr) return nullptr;
  if (member->value.kind == yaml_kind::kScalar && !member->value.text.empty()) return member;
  AddFinding(member->value, key, "expected one value");
  return nullptr;
}

void yaml_fields::AddFinding(const yaml_node& at, std::string_view key, std::string_view message) {
  found_.Add(at.where, std::string(key) + ": " + std::string(message));
}

bool yaml_fields::Has(std::string_view key) const { return Find(key) != nullptr; }

source_location yaml_fields::LocationOf(std::string_view key) const {
  const yaml_member* member = Find(key);
  return member == nullptr ? node_.where : member->where;
}

const yaml_node* yaml_fields::Child(std::string_view key) {
  const yaml_member* member = Lookup(key);
  return member == nullptr ? nullptr : &member->value;
}

bool yaml_fields::Text(std::string_view key, std::string& target) {
  const yaml_member* member = LookupScalar(key);
  if (member == nullptr) return false;
  target = member->value.text;
  return true;
}

bool yaml_fields::Flag(std::string_view key, bool& target) {
  const yaml_member* member = LookupScalar(key);
  if (member == nullptr) return false;
  const std::string& text = member->value.text;
  if (text != "true" && text != "false") {
    AddFinding(member->value, key, "expected true or false");
    return false;
  }
  target = text == "true";
  return true;
}

bool yaml_fields::Duration(std::string_view key, duration& target, duration min, duration max) {
  const yaml_member* member = LookupScalar(key);
  if (member == nullptr) return false;
  const expected<duration> value = ParseDuration(member->value.text);
  if (!value) {
    AddFinding(member->value, key, value.error().message);
    return false;
  }
  if (*value < min || *value > max) {
    AddFinding(member->value, key, RangeText(FormatDuration(min), FormatDuration(max)));
    return false;
  }
  target = *value;
  return true;
}

bool yaml_fields::Bytes(std::string_view key, std::uint64_t& target, std::uint64_t min,
                        std::uint64_t max) {
  const yaml_member* member = LookupScalar(key);
  if (member == nullptr) return false;
  const expected<std::uint64_t> value = ParseBytes(member->value.text);
  if (!value) {
    AddFinding(member->value, key, value.error().message);
    return false;
  }
  if (*value < min || *value > max) {
    AddFinding(member->value, key, RangeText(std::to_string(min) + "B", std::to_string(max) + "B"));
    return false;
  }
  target = *value;
  return true;
}

bool yaml_fields::Number(std::string_view key, double& target, double min, double max) {
  const yaml_member* member = LookupScalar(key);
  if (member == nullptr) return false;
  const expected<double> value = ParseNumber(member->value.text);
  if (!value) {
    AddFinding(member->value, key, value.error().message);
    return false;
  }
  if (*value < min || *value > max) {
    AddFinding(member->value, key, RangeText(FormatNumber(min), FormatNumber(max)));
    return false;
  }
  target = *value;
  return true;
}

bool yaml_fields::Whole(std::string_view key, std::uint32_t& target, std::uint32_t min,
                        std::uint32_t max) {
  double value = 0;
  if (!Number(key, value, min, max)) return false;
  if (value != std::floor(value)) {
    AddFinding(Find(key)->value, key, "expected a whole number");
    return false;
  }
  target = static_cast<std::uint32_t>(value);
  return true;
}

bool yaml_fields::Address(std::string_view key, std::string& target) {
  const yaml_member* member = LookupScalar(key);
  if (member == nullptr) return false;
  if (!IsAddress(member->value.text)) {
    AddFinding(member->value, key, "expected ip:port, for example 10.0.0.4:8001");
    return false;
  }
  target = member->value.text;
  return true;
}

bool yaml_fields::AddressList(std::string_view key, std::vector<std::string>& target) {
  const yaml_member* member = Lookup(key);
  if (member == nullptr) return false;
  if (member->value.kind != yaml_kind::kList) {
    AddFinding(member->value, key, "expected a list of ip:port");
    return false;
  }
  std::vector<std::string> addresses;
  for (const yaml_node& item : member->value.items) {
    if (item.kind != yaml_kind::kScalar || !IsAddress(item.text)) {
      AddFinding(item, key, "expected ip:port, for example 10.0.0.4:8002");
      continue;
    }
    addresses.push_back(item.text);
  }
  target = std::move(addresses);
  return true;
}

bool yaml_fields::Choice(std::string_view key, const std::vector<std::string_view>& words,
                         std::size_t& target) {
  const yaml_member* member = LookupScalar(key);
  if (member == nullptr) return false;
  const auto chosen = std::find(words.begin(), words.end(), member->value.text);
  if (chosen == words.end()) {
    std::string message = std::string(key) + ": expected one of";
    for (const std::string_view word : words) message += " " + std::string(word);
    found_.Add(member->value.where, message, SuggestSpelling(member->value.text, words));
    return false;
  }
  target = static_cast<std::size_t>(chosen - words.begin());
  return true;
}

void yaml_fields::Require(std::string_view key, std::string_view hint) {
  if (!valid_ || Has(key)) return;
  found_.Add(node_.where, "key \"" + std::string(key) + "\" is missing", std::string(hint));
}

void yaml_fields::ReportUnknown() {
  for (const yaml_member& member : node_.members) {
    if (std::find(read_keys_.begin(), read_keys_.end(), member.key) != read_keys_.end()) continue;
    found_.Add(member.where, "unknown key \"" + member.key + "\"",
               SuggestSpelling(member.key, read_keys_));
  }
}

}  // namespace hawthorndrum
