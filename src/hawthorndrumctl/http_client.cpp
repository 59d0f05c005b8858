/// The client, with Beast. It uses asynchronous operations because only those have a timeout.
#include "http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <optional>

#include "base/quantity.h"
#include "http_wire.h"

namespace hawthorndrum {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kHttpVersion = 11;
constexpr int kMaxInterimAnswers = 16;
constexpr std::uint64_t kMaxAnswerBytes = 64ULL * 1024 * 1024;

expected<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const std::string port = colon == std::string::npos ? "" : address.substr(colon + 1);
  const expected<double> number = ParseNumber(port);
  error_code problem;
  const std::string host = address.substr(0, colon);
  const auto ip = asio::ip::make_address(
      host.size() > 2 && host.front() == '[' ? host.substr(1, host.size() - 2) : host, problem);
  if (problem || !number || *number < 1 || *number > 65535) {
    return tl::make_unexpected(
        error{hawthorndrum::error_code::kInvalid, "not an address (ip:port): " + address});
  }
  return tcp::endpoint(ip, static_cast<std::uint16_t>(*number));
}

http::request<http::string_body> ToBeast(const http_request& request, const std::string& host) {
  http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                           kHttpVersion);
  message.set(http::field::host, host);
  message.set(http::field::connection, "close");
  for (const http_header& header : request.headers) message.set(header.name, header.value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

http_answer FromBeast(http::response<http::string_body> message) {
  http_answer answer;
  answer.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  answer.body = std::move(message.body());
  return answer;
}

/** One call: connects, sends the request and reads the answer. */
class http_call {
 public:
  http_call(const http_endpoint& endpoint, const http_request& request, duration timeout)
      : endpoint_(endpoint), message_(ToBeast(request, endpoint.address)), timeout_(timeout) {}

  expected<http_answer> Run() {
    const expected<tcp::endpoint> target = ParseEndpoint(endpoint_.address);
    if (!target) return tl::make_unexpected(target.error());
    return endpoint_.authority.empty() ? RunPlain(*target) : RunTls(*target);
  }

 private:
  /** Starts an asynchronous operation, runs it to completion and returns its error. */
  template <typename Start>
  error_code RunToCompletion(Start start) {
    error_code result = asio::error::would_block;
    start([&result](error_code problem, auto&&... /*rest*/) { result = problem; });
    context_.restart();
    context_.run();
    return result;
  }

  expected<http_answer> RunPlain(const tcp::endpoint& target) {
    beast::tcp_stream stream(context_);
    stream.expires_after(timeout_);
    if (const error_code problem =
            RunToCompletion([&](auto done) { stream.async_connect(target, std::move(done)); })) {
      return NotSent(problem);
    }
    return Exchange(stream);
  }

  expected<http_answer> RunTls(const tcp::endpoint& target) {
    asio::ssl::context tls(asio::ssl::context::tls_client);
    error_code problem;
    tls.set_verify_mode(asio::ssl::verify_peer);
    tls.load_verify_file(endpoint_.authority, problem);
    if (problem) return NotSent(problem);
    beast::ssl_stream<beast::tcp_stream> stream(context_, tls);
    beast::get_lowest_layer(stream).expires_after(timeout_);
    problem = RunToCompletion(
        [&](auto done) { beast::get_lowest_layer(stream).async_connect(target, std::move(done)); });
    if (problem) return NotSent(problem);
    problem = RunToCompletion([&](auto done) {
      stream.async_handshake(asio::ssl::stream_base::client, std::move(done));
    });
    if (problem) return NotSent(problem);
    return Exchange(stream);
  }

  template <typename Stream>
  expected<http_answer> Exchange(Stream& stream) {
    error_code problem =
        RunToCompletion([&](auto done) { http::async_write(stream, message_, std::move(done)); });
    if (problem) return NoAnswer(problem);
    for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
      parser_.emplace();
      parser_->body_limit(kMaxAnswerBytes);
      problem = RunToCompletion(
          [&](auto done) { http::async_read(stream, buffer_, *parser_, std::move(done)); });
      if (problem) return NoAnswer(problem);
      const head_kind kind = KindOf(parser_->get().result_int(), parser_->get());
      if (kind == head_kind::kFinalAnswer) return FromBeast(parser_->release());
      if (kind == head_kind::kNoAnswer) break;
    }
    return NoAnswer(http::error::bad_status);
  }

  tl::unexpected<error> NotSent(const error_code& problem) const {
    return tl::make_unexpected(error{hawthorndrum::error_code::kUnavailable,
                                     endpoint_.address + ": " + problem.message()});
  }

  tl::unexpected<error> NoAnswer(const error_code& problem) const {
    return tl::make_unexpected(error{hawthorndrum::error_code::kUnknownOutcome,
                                     endpoint_.address + ": " + problem.message()});
  }

  const http_endpoint& endpoint_;
  http::request<http::string_body> message_;
  duration timeout_;
  asio::io_context context_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
};

}  // namespace

expected<http_answer> CallHttp(const http_endpoint& endpoint, const http_request& request,
                               duration timeout) {
  return http_call(endpoint, request, timeout).Run();
}

}  // namespace hawthorndrum
