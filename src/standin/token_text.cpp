/// The text that engine stand-ins generate.
#include "token_text.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/hash.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kCharactersPerToken = 4;
constexpr std::size_t kPieceTokens = 2000;
constexpr std::array<std::string_view, 16> kWords = {
    "oak",  "ash",   "birch",  "yard",  "route", "van",  "load", "north",
    "seat", "union", "course", "place", "time",  "open", "next", "full"};

std::string PromptText(const nlohmann::json& request) {
  std::string text;
  const auto messages = request.find("messages");
  if (messages == request.end() || !messages->is_array()) return text;
  for (const auto& message : *messages) {
    if (!message.is_object()) continue;
    const auto content = message.find("content");
    if (content == message.end()) continue;
    text += content->is_string() ? content->get<std::string>() : content->dump();
    text += '\n';
  }
  return text;
}

}  // namespace

std::uint64_t TokenSeed(const nlohmann::json& request) {
  return Hash64(PromptText(request), Hash64(request.value("model", "")));
}

std::string TokenText(std::uint64_t seed, std::uint64_t offset) {
  return std::string(kWords[RendezvousScore(seed, offset) % kWords.size()]) + " ";
}

std::uint64_t PromptTokens(const nlohmann::json& request) {
  return (PromptText(request).size() + kCharactersPerToken - 1) / kCharactersPerToken;
}

std::vector<std::uint64_t> PromptPieces(const nlohmann::json& request) {
  const std::string text = PromptText(request);
  constexpr std::size_t kPieceCharacters = kPieceTokens * kCharactersPerToken;
  std::vector<std::uint64_t> pieces;
  const std::string_view whole = text;
  std::uint64_t chained = 0;
  for (std::size_t at = 0; at + kPieceCharacters <= text.size(); at += kPieceCharacters) {
    chained = Hash64(whole.substr(at, kPieceCharacters), chained);
    pieces.push_back(chained);
  }
  return pieces;
}

}  // namespace hawthorndrum
