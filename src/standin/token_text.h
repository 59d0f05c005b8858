/// Text that engine stand-ins generate. The same request yields the same text on every engine.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hawthorndrum {

/** Returns a seed derived from the request's model and messages. */
std::uint64_t TokenSeed(const nlohmann::json& request);

/** Returns the text of the token at the offset. */
std::string TokenText(std::uint64_t seed, std::uint64_t offset);

/** Returns the number of prompt tokens: one per four characters, rounded up. */
std::uint64_t PromptTokens(const nlohmann::json& request);

/** Returns the chained hashes of the prompt's complete pieces of 2,000 tokens, in order. */
std::vector<std::uint64_t> PromptPieces(const nlohmann::json& request);

}  // namespace hawthorndrum
