/// Headers between daemons, on requests that are passed on and on their answers.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/http_message.h"
#include "relay/relay_answer.h"
#include "relay/relay_terms.h"

namespace hawthorndrum {

/** Replaces any terms that the headers contain. */
void SetRelayTerms(const relay_terms& terms, std::vector<http_header>& headers);
/** Removes the terms from the headers; nothing is returned if they are incomplete or malformed. */
std::optional<relay_terms> TakeRelayTerms(std::vector<http_header>& headers);

/** Marks a request as the question for a configuration newer than that version. */
void SetConfigQuestion(std::uint64_t version, std::vector<http_header>& headers);
/** Returns the version if the request is such a question; callers' requests never are. */
std::optional<std::uint64_t> ReadConfigQuestion(const std::vector<http_header>& headers);

/** Replaces what the headers say about the request's outcome. */
void SetRelayAnswer(const relay_answer& answer, std::vector<http_header>& headers);
/** Removes it from the headers; without it, or if it is malformed, the outcome is unknown. */
relay_answer TakeRelayAnswer(std::vector<http_header>& headers);

}  // namespace hawthorndrum
