/// Converts between the core's HTTP messages and those of Boost.Beast.
#include "http_wire.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace hawthorndrum {

namespace {

/**
 * Subtracted from the server's keep-alive time, so that the server does not close a connection just
 * as a call begins to use it.
 */
constexpr duration kKeepAliveMargin = milliseconds(500);

}  // namespace

namespace http = boost::beast::http;
using boost::algorithm::iequals;

namespace {

/** Whether a header applies to one connection only and is never forwarded. */
bool IsHopByHopHeader(std::string_view name) {
  for (const std::string_view hop :
       {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", "Content-Length", "Expect"}) {
    if (iequals(name, hop)) return true;
  }
  return false;
}

template <typename Message>
void SetHeaders(Message& message, const std::vector<http_header>& headers) {
  for (const http_header& header : headers) {
    if (!IsHopByHopHeader(header.name)) message.insert(header.name, header.value);
  }
}

template <typename Message>
std::string MessageText(const Message& message) {
  std::ostringstream text;
  text << message;
  return text.str();
}

}  // namespace

bool HasKnownCoding(const http::fields& fields) {
  const auto count = fields.count(http::field::transfer_encoding);
  return count == 0 ||
         (count == 1 && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

head_kind KindOf(unsigned status, const http::fields& fields) {
  constexpr unsigned kSwitchingProtocols = 101;
  if (status < 100 || status > 599 || status == kSwitchingProtocols) return head_kind::kNoAnswer;
  if (!HasKnownCoding(fields)) return head_kind::kNoAnswer;
  if (status >= 200) return head_kind::kFinalAnswer;
  const bool has_body =
      fields.count(http::field::content_length) + fields.count(http::field::transfer_encoding) > 0;
  return has_body ? head_kind::kNoAnswer : head_kind::kInterimAnswer;
}

std::vector<http_header> ToHeaders(const http::fields& fields) {
  std::vector<http_header> headers;
  http::token_list named(fields[http::field::connection]);
  for (const auto& field : fields) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (IsHopByHopHeader(name) || named.exists(field.name_string())) continue;
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

http_request ToRequest(beast_request&& message) {
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = ToHeaders(message);
  request.body = std::move(message.body());
  return request;
}

beast_request ToBeast(http_request&& request, std::string_view address) {
  beast_request message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  SetHeaders(message, request.headers);
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, boost::beast::string_view(address.data(), address.size()));
  }
  message.body() = std::move(request.body);
  // The library throws at a body of TRACE.
  if (message.method() == http::verb::trace && !message.body().empty()) {
    message.content_length(message.body().size());
  } else {
    message.prepare_payload();
  }
  return message;
}

std::string AnswerBytes(const http_answer& answer, unsigned version, bool keep_alive, bool head) {
  if (head) {
    http::response<http::empty_body> message;
    message.result(static_cast<unsigned>(answer.status));
    message.version(version);
    SetHeaders(message, answer.headers);
    message.content_length(answer.body.size());
    message.keep_alive(keep_alive);
    return MessageText(message);
  }
  http::response<http::string_body> message;
  message.result(static_cast<unsigned>(answer.status));
  message.version(version);
  SetHeaders(message, answer.headers);
  message.body() = answer.body;
  message.prepare_payload();
  message.keep_alive(keep_alive);
  return MessageText(message);
}

std::string HeadBytes(int status, const std::vector<http_header>& headers, unsigned version,
                      bool keep_alive, bool chunked) {
  http::response<http::empty_body> message;
  message.result(static_cast<unsigned>(status));
  message.version(version);
  SetHeaders(message, headers);
  if (chunked) message.chunked(true);
  message.keep_alive(keep_alive);
  std::ostringstream text;
  text << message.base();
  return text.str();
}

std::string ChunkBytes(std::string_view bytes) {
  if (bytes.empty()) return boost::beast::buffers_to_string(http::make_chunk_last());
  return boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::buffer(bytes.data(), bytes.size())));
}

http_answer TransportProblem(int status, std::string_view detail) {
  const nlohmann::json body = {{"type", "about:blank"},
                               {"title", std::string(detail)},
                               {"status", status},
                               {"outcome", "not_run"}};
  return {status, {{"Content-Type", "application/problem+json"}}, body.dump()};
}

duration KeepTimeOf(const boost::beast::http::fields& fields) {
  const auto value = fields[boost::beast::http::field::keep_alive];
  const std::string_view text(value.data(), value.size());
  const std::size_t position = text.find("timeout=");
  if (position == std::string_view::npos) return kDefaultKeepTime;
  int timeout_seconds = 0;
  const std::string_view digits = text.substr(position + 8);
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), timeout_seconds);
  if (read.ec != std::errc()) return kDefaultKeepTime;
  return std::min<duration>(kDefaultKeepTime, seconds(timeout_seconds) - kKeepAliveMargin);
}

}  // namespace hawthorndrum
