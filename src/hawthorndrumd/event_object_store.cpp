/// Client of the platform's object API over HTTP.
#include "event_object_store.h"

#include <algorithm>
#include <utility>

#include "buffered_calls.h"
#include "object_api.h"
#include "ports/event_sink.h"

namespace hawthorndrum {

namespace {

constexpr duration kConnectTimeout = seconds(1);
/** A value of a megabyte at most, or a list of some ten thousand keys. */
constexpr std::size_t kLongestAnswer = 16 * 1024 * 1024;

}  // namespace

store_call_id event_object_store::Submit(store_call call, store_listener& listener) {
  const store_call_id id(++last_id_);
  http_call sent;
  sent.address = address_;
  sent.request = ObjectApiRequest(call);
  sent.connect_timeout = std::min(kConnectTimeout, call.timeout);
  sent.idle_timeout = call.timeout;
  sent.total_timeout = call.timeout;
  // A write must not be sent twice. A reused connection may turn out to be closed only after the
  // request was written to it, and the client would then send the request again.
  sent.reuse = !IsStoreWrite(call.operation);
  call.value.clear();
  calls_.Start(std::move(sent), kLongestAnswer,
               [this, id, call = std::move(call), target = &listener](buffered_answer ended) {
                 store_answer answer = ended.received
                                           ? ObjectApiAnswer(call, std::move(ended.answer))
                                           : ObjectApiNoAnswer(call, ended.bytes_sent);
                 events_.Post(store_answered{id, std::move(answer), target});
               });
  return id;
}

}  // namespace hawthorndrum
