/// Finds the ends of JSON values without recursion.
#include "base/json_parts.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hawthorndrum {

namespace {

constexpr std::string_view kSpace = " \t\r\n";
constexpr auto kNone = std::string_view::npos;

std::size_t SkipSpace(std::string_view text, std::size_t at) {
  return std::min(text.find_first_not_of(kSpace, at), text.size());
}

/** Returns the position after the string that begins there; kNone if it has no end. */
std::size_t EndOfString(std::string_view text, std::size_t at) {
  for (std::size_t i = at + 1; i < text.size(); ++i) {
    if (text[i] == '"') return i + 1;
    if (text[i] == '\\') ++i;
  }
  return kNone;
}

/** Returns the position after the object or array that begins there; `deepest` is its depth. */
std::size_t EndOfBrackets(std::string_view text, std::size_t at, std::size_t& deepest) {
  std::size_t depth = 0;
  while (at < text.size()) {
    const char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      if (at == kNone) return kNone;
      continue;
    }
    ++at;
    if (c == '{' || c == '[') deepest = std::max(deepest, ++depth);
    if ((c == '}' || c == ']') && --depth == 0) return at;
  }
  return kNone;
}

/** Returns the position after the value that begins there; kNone if it is empty or not closed. */
std::size_t EndOfValue(std::string_view text, std::size_t at) {
  if (at >= text.size()) return kNone;
  std::size_t deepest = 0;
  if (text[at] == '"') return EndOfString(text, at);
  if (text[at] == '{' || text[at] == '[') return EndOfBrackets(text, at, deepest);
  const std::size_t end = std::min(text.find_first_of(" \t\r\n,]}", at), text.size());
  return end == at ? kNone : end;
}

/**
 * Divides what is between the brackets at commas; `read` reads one part and returns the position
 * after it. Returns whether everything up to the closing bracket and the end was divided.
 */
template <typename Read>
bool Divide(std::string_view text, char open, char close, const Read& read) {
  std::size_t at = SkipSpace(text, 0);
  if (at >= text.size() || text[at] != open) return false;
  at = SkipSpace(text, at + 1);
  bool is_empty = true;
  while (at < text.size() && (!is_empty || text[at] != close)) {
    is_empty = false;
    at = read(at);
    if (at == kNone) return false;
    at = SkipSpace(text, at);
    if (at >= text.size() || text[at] != ',') break;
    at = SkipSpace(text, at + 1);
  }
  return at < text.size() && text[at] == close && SkipSpace(text, at + 1) == text.size();
}

}  // namespace

std::optional<std::vector<json_member>> MembersOf(std::string_view text) {
  std::vector<json_member> members;
  const auto read = [&](std::size_t at) {
    if (text[at] != '"') return kNone;
    const std::size_t name_end = EndOfString(text, at);
    if (name_end == kNone) return kNone;
    const std::size_t colon = SkipSpace(text, name_end);
    if (colon >= text.size() || text[colon] != ':') return kNone;
    const std::size_t value = SkipSpace(text, colon + 1);
    const std::size_t end = EndOfValue(text, value);
    if (end == kNone) return kNone;
    members.push_back({text.substr(at + 1, name_end - at - 2), text.substr(value, end - value)});
    return end;
  };
  if (!Divide(text, '{', '}', read)) return std::nullopt;
  return members;
}

std::optional<std::vector<std::string_view>> ElementsOf(std::string_view text) {
  std::vector<std::string_view> elements;
  const auto read = [&](std::size_t at) {
    const std::size_t end = EndOfValue(text, at);
    if (end != kNone) elements.push_back(text.substr(at, end - at));
    return end;
  };
  if (!Divide(text, '[', ']', read)) return std::nullopt;
  return elements;
}

std::string_view ValueOf(const std::vector<json_member>& members, std::string_view name) {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const json_member& each) { return each.name == name; });
  return found == members.end() ? std::string_view() : found->value;
}

nlohmann::json ReadJson(std::string_view text) {
  const nlohmann::json discarded(nlohmann::json::value_t::discarded);
  const std::size_t begin = SkipSpace(text, 0);
  std::size_t deepest = 0;
  if (begin < text.size() && (text[begin] == '{' || text[begin] == '[')) {
    if (EndOfBrackets(text, begin, deepest) == kNone) return discarded;
  }
  if (deepest > kMaxJsonDepth) return discarded;
  return nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
}

}  // namespace hawthorndrum
