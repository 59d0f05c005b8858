/// Finds the ends of JSON values without recursion.
#include "base/json_parts.h"

#include <algorithm>
#include <charconv>
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

/** The length of an escaped code unit of UTF-16, as in \uDCFF. */
constexpr std::size_t kUnitLength = 6;

/** Returns the escaped code unit that begins there. */
std::optional<unsigned> ReadUnit(std::string_view text, std::size_t at) {
  if (at > text.size() || text.substr(at, 2) != "\\u") return std::nullopt;
  const std::string_view digits = text.substr(at + 2, kUnitLength - 2);
  unsigned unit = 0;
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), unit, 16);
  const bool is_whole = digits.size() == 4 && read.ptr == digits.data() + 4;
  return is_whole ? std::optional(unit) : std::nullopt;
}

bool IsSurrogate(unsigned unit) { return unit >= 0xd800 && unit <= 0xdfff; }

bool IsPair(unsigned first, unsigned second) {
  return first >= 0xd800 && first <= 0xdbff && second >= 0xdc00 && second <= 0xdfff;
}

/** Appends the byte that it stands for, or else its code point like any other in UTF-8. */
void AppendLoneSurrogate(unsigned unit, std::string& bytes) {
  if (unit >= 0xdc80 && unit <= 0xdcff) {
    bytes += static_cast<char>(unit - 0xdc00);
    return;
  }
  bytes += static_cast<char>(0xe0 | (unit >> 12));
  bytes += static_cast<char>(0x80 | ((unit >> 6) & 0x3f));
  bytes += static_cast<char>(0x80 | (unit & 0x3f));
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

std::string BytesOfString(std::string_view text) {
  const nlohmann::json whole = ReadJson(text);
  if (whole.is_string()) return whole.get<std::string>();
  if (text.size() < 2 || text.front() != '"' || text.back() != '"') return {};
  text = text.substr(1, text.size() - 2);
  std::string bytes;
  std::size_t begin = 0;
  const auto append_until = [&](std::size_t end) {
    const std::string run(text.substr(begin, end - begin));
    const nlohmann::json read = ReadJson('"' + run + '"');
    bytes += read.is_string() ? read.get<std::string>() : run;
  };
  for (std::size_t i = 0; i < text.size();) {
    const std::optional<unsigned> unit = ReadUnit(text, i);
    if (!unit || !IsSurrogate(*unit)) {
      i += text[i] != '\\' ? 1 : unit ? kUnitLength : 2;
    } else if (const auto next = ReadUnit(text, i + kUnitLength); next && IsPair(*unit, *next)) {
      i += 2 * kUnitLength;
    } else {
      append_until(i);
      AppendLoneSurrogate(*unit, bytes);
      begin = i += kUnitLength;
    }
  }
  append_until(text.size());
  return bytes;
}

}  // namespace hawthorndrum
