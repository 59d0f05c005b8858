/// Converts the object API's calls and answers to and from HTTP; see docs/protocols.md.
#pragma once

#include "base/http_message.h"
#include "ports/store_call.h"

namespace hawthorndrum {

bool IsStoreWrite(store_operation operation);

/** Builds the request of a call. A watch asks for an answer within half of the call's timeout. */
http_request ObjectApiRequest(const store_call& call);

/**
 * Interprets a complete answer. A list or watch answer that can't be parsed counts as refused,
 * while one of its entries that can't be read is left out; the outcome of a create or update whose
 * answer has no version is unknown.
 */
store_answer ObjectApiAnswer(const store_call& call, http_answer answer);

/**
 * The result of a call that got no complete answer: unknown for a write of which bytes may have
 * been sent, refused for all others.
 */
store_answer ObjectApiNoAnswer(const store_call& call, bool bytes_sent);

}  // namespace hawthorndrum
