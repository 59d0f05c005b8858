/// Converts between the core's HTTP messages and those of Boost.Beast.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/http_message.h"
#include "base/units.h"

namespace hawthorndrum {

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;

/**
 * Returns whether the message has no transfer coding but chunks, which the library decodes. With
 * another one, the end of a request can't be told from the next, and an answer's body is not
 * decoded.
 */
bool HasKnownCoding(const boost::beast::http::fields& fields);

/** Converts a parsed request to the core's type. */
http_request ToRequest(beast_request&& message);

/** What the head of an answer begins. */
enum class head_kind { kFinalAnswer, kInterimAnswer, kNoAnswer };

/**
 * Returns what a head begins that the library parsed, which takes any three digits for a status. An
 * interim answer (100 to 199) has no body and is followed by another answer. 101 is no answer, as
 * no request asks for another protocol; nor is one whose body has an unknown transfer coding, whose
 * name would not be passed on.
 */
head_kind KindOf(unsigned status, const boost::beast::http::fields& fields);

std::vector<http_header> ToHeaders(const boost::beast::http::fields& fields);

/** How long an idle connection is kept, unless the server asks for less. */
constexpr duration kDefaultKeepTime = seconds(20);
/** Returns the time to keep a connection idle, limited by the server's Keep-Alive header. */
duration KeepTimeOf(const boost::beast::http::fields& fields);

/** Builds a request with Content-Length set. Host is `address` unless the request sets it. */
beast_request ToBeast(http_request&& request, std::string_view address);

/** Serialises a complete answer. */
std::string AnswerBytes(const http_answer& answer, unsigned version, bool keep_alive, bool head);

/** Serialises the head of an answer whose body follows in parts. */
std::string HeadBytes(int status, const std::vector<http_header>& headers, unsigned version,
                      bool keep_alive, bool chunked);

/** Serialises one chunk of a chunked body; empty `bytes` give the last chunk. */
std::string ChunkBytes(std::string_view bytes);

/** Builds a problem+json answer of the transport itself; its outcome says that nothing was run. */
http_answer TransportProblem(int status, std::string_view detail);

}  // namespace hawthorndrum
