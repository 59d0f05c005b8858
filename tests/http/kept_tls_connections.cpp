/// Tests of kept TLS connections when the server's limits change or the server stops.
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_handler.h"
#include "http_server.h"

namespace hawthorndrum {
namespace {

namespace ssl = boost::asio::ssl;
using boost::asio::ip::tcp;

constexpr auto kWaitTimeout = std::chrono::seconds(20);
const char* const kGet = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

class id_recorder : public http_handler {
 public:
  void OnRequest(request_id request, http_request) override { ids.push_back(request); }
  void OnCallerGone(request_id) override {}

  std::vector<request_id> ids;
};

/** A context with a new key and a self-signed certificate. */
std::shared_ptr<ssl::context> NewContext() {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  EVP_PKEY* pair = EVP_EC_gen("P-256");
  X509* certificate = X509_new();
  X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
  X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
  X509_set_pubkey(certificate, pair);
  X509_sign(certificate, pair, EVP_sha256());
  SSL_CTX_use_certificate(context->native_handle(), certificate);
  SSL_CTX_use_PrivateKey(context->native_handle(), pair);
  X509_free(certificate);
  EVP_PKEY_free(pair);
  return context;
}

class KeptTlsConnectionsTest : public testing::Test {
 protected:
  KeptTlsConnectionsTest() : client_context(ssl::context::tls_client), stream(io, client_context) {}

  /** Listens and connects the stream. */
  void Connect(const http_limits& limits) {
    server =
        std::make_unique<http_server>(io, handler, random, metrics, "test", limits, NewContext());
    const std::uint16_t port = *server->Listen("127.0.0.1:0");
    stream.lowest_layer().connect({boost::asio::ip::make_address("127.0.0.1"), port});
    bool connected = false;
    stream.async_handshake(ssl::stream_base::client,
                           [&](boost::system::error_code failed) { connected = !failed; });
    ASSERT_TRUE(RunUntil([&] { return connected; }));
    Read();
  }
  void Read() {
    stream.async_read_some(boost::asio::buffer(bytes),
                           [this](boost::system::error_code failed, std::size_t size) {
                             read.append(bytes.data(), size);
                             closed = static_cast<bool>(failed);
                             if (!closed) Read();
                           });
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }
  void Run(std::chrono::milliseconds time) {
    boost::asio::steady_timer timer(io, time);
    bool is_over = false;
    timer.async_wait([&](boost::system::error_code) { is_over = true; });
    ASSERT_TRUE(RunUntil([&] { return is_over; }));
  }
  /** Writes without running the loop. */
  void Write(const std::string& text) { boost::asio::write(stream, boost::asio::buffer(text)); }
  bool WaitForRequests(std::size_t count) {
    return RunUntil([&] { return handler.ids.size() >= count || closed; }) &&
           handler.ids.size() == count;
  }
  void Exchange() {
    read.clear();
    Write(kGet);
    ASSERT_TRUE(WaitForRequests(handler.ids.size() + 1));
    server->Answer(handler.ids.back(), {200, {}, "done"});
    ASSERT_TRUE(RunUntil([&] { return read.find("done") != std::string::npos || closed; }));
  }

  boost::asio::io_context io;
  id_recorder handler;
  fake_random_source random;
  metrics_registry metrics;
  std::unique_ptr<http_server> server;
  ssl::context client_context;
  ssl::stream<tcp::socket> stream;
  std::array<char, 4096> bytes{};
  std::string read;
  bool closed = false;
};

// Guards against the old idle timeout closing a TLS connection that callers may still use.
TEST_F(KeptTlsConnectionsTest, ARaisedIdleTimeoutIsInForce) {
  http_limits limits;
  limits.idle_timeout = seconds(2);
  Connect(limits);
  Exchange();
  limits.idle_timeout = seconds(3600);
  server->SetLimits(limits);
  Run(std::chrono::milliseconds(2500));
  Exchange();
  EXPECT_FALSE(closed);
}

// Guards against a request that arrived over TLS being cut when the server stops.
TEST_F(KeptTlsConnectionsTest, AnArrivedRequestIsServedWhenTheServerStops) {
  Connect({});
  Exchange();
  Write(kGet);
  server->StopListening();
  ASSERT_TRUE(WaitForRequests(2));
  server->Answer(handler.ids[1], {200, {}, "last"});
  EXPECT_TRUE(RunUntil([&] { return closed; }));
  EXPECT_NE(read.find("Connection: close"), std::string::npos) << read;
  EXPECT_NE(read.find("last"), std::string::npos) << read;
}

// Guards against a request cut that the TLS stream has already taken from the socket.
TEST_F(KeptTlsConnectionsTest, ARequestAfterAnAnswerIsServedWhenTheServerStops) {
  Connect({});
  Write(std::string(kGet) + kGet);
  ASSERT_TRUE(WaitForRequests(1));
  Write(kGet);
  server->Answer(handler.ids[0], {200, {}, "first"});
  ASSERT_TRUE(WaitForRequests(2));
  server->Answer(handler.ids[1], {200, {}, "second"});
  server->StopListening();
  EXPECT_TRUE(WaitForRequests(3));
}

// Guards against an idle TLS connection that stays open when the server stops.
TEST_F(KeptTlsConnectionsTest, AnIdleConnectionIsClosedWhenTheServerStops) {
  Connect({});
  Exchange();
  server->StopListening();
  EXPECT_TRUE(RunUntil([&] { return closed; }));
  EXPECT_EQ(server->connections(), 0u);
}

}  // namespace
}  // namespace hawthorndrum
