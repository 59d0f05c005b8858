/// The text that engine stand-ins generate: the same for the same request on every engine.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hawthorndrum {

/** A seed made of the request's model and messages. */
std::uint64_t TokenSeed(const nlohmann::json& request);

/** The text of the token at that offset. */
std::string TokenText(std::uint64_t seed, std::uint64_t offset);

/** The number of prompt tokens: one for each four characters. */
std::uint64_t PromptTokens(const nlohmann::json& request);

/** Chained hashes of the prompt's whole pieces of 2,000 tokens, first piece first. */
std::vector<std::uint64_t> PromptPieces(const nlohmann::json& request);

}  // namespace hawthorndrum
