/// The object API's calls and answers as HTTP messages; see docs/protocols.md.
#pragma once

#include "base/http_message.h"
#include "ports/store_call.h"

namespace hawthorndrum {

bool IsStoreWrite(store_operation operation);

/** A watch is asked to answer after half of its timeout at the latest. */
http_request ObjectApiRequest(const store_call& call);

/** What a whole answer means; one that can't be read counts as refused. */
store_answer ObjectApiAnswer(const store_call& call, http_answer answer);

/** What it means that no whole answer came. */
store_answer ObjectApiSilence(const store_call& call, bool bytes_sent);

}  // namespace hawthorndrum
