/// Tests of the admin port: authentication, the served sections, and TLS.
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "admin_endpoint.h"
#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_server.h"
#include "ports/admin_section.h"
#include "tables/daemon_settings.h"
#include "tls_contexts.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

constexpr char kToken[] = "the-operators-token";
constexpr auto kWaitTimeout = std::chrono::seconds(20);

class recording_caller : public caller_port {
 public:
  void Answer(request_id, http_answer answer) override { last = std::move(answer); }
  void Begin(request_id, int, std::vector<http_header>) override {}
  void Write(request_id, std::string_view) override {}
  void End(request_id) override {}
  void Abort(request_id) override {}
  http_answer last;
};

class fruit_section : public admin_section {
 public:
  std::string_view name() const override { return "fruit"; }
  expected<nlohmann::json> Report(std::string_view item) const override {
    if (item == "missing") return tl::make_unexpected(error{error_code::kNotFound, "none"});
    return nlohmann::json{{"item", item}};
  }
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override {
    acted += 1;
    return nlohmann::json{{"verb", verb}, {"arguments", arguments}};
  }
  int acted = 0;
};

class AdminTest : public testing::Test {
 protected:
  AdminTest() : endpoint(kToken, metrics) {
    endpoint.SetCallerPort(answers);
    endpoint.Add(section);
  }

  http_answer Send(const std::string& method, const std::string& target,
                   const std::string& authorization, const std::string& body = {}) {
    http_request request{method, target, {}, body};
    if (!authorization.empty()) request.headers.push_back({"Authorization", authorization});
    endpoint.OnRequest(request_id(1), request);
    return answers.last;
  }
  http_answer SendWithToken(const std::string& method, const std::string& target,
                            const std::string& body = {}) {
    return Send(method, target, std::string("Bearer ") + kToken, body);
  }

  metrics_registry metrics;
  recording_caller answers;
  fruit_section section;
  admin_endpoint endpoint;
};

TEST_F(AdminTest, WrongTokensAreRefusedAndCounted) {
  const std::string good = kToken;
  const std::string wrong[] = {"",
                               "Bearer ",
                               "Bearer x",
                               "Bearer " + good + "x",
                               "Bearer " + good.substr(1),
                               "Basic " + good,
                               good};
  for (const std::string& each : wrong) {
    EXPECT_EQ(Send("GET", "/admin/fruit", each).status, 401) << each;
    EXPECT_EQ(Send("POST", "/admin/fruit/eat", each).status, 401) << each;
  }
  EXPECT_EQ(section.acted, 0);
  EXPECT_EQ(metrics.Counter("admin_unauthorised_total").value(), 2 * std::size(wrong));
}

TEST_F(AdminTest, AnEmptyTokenInTheSettingsAuthorisesNobody) {
  admin_endpoint open("", metrics);
  open.SetCallerPort(answers);
  open.Add(section);
  http_request request{"GET", "/admin/fruit", {{"Authorization", "Bearer "}}, {}};
  open.OnRequest(request_id(1), request);
  EXPECT_EQ(answers.last.status, 401);
}

TEST_F(AdminTest, SectionsAreServed) {
  EXPECT_EQ(SendWithToken("GET", "/admin/fruit").status, 200);
  EXPECT_NE(SendWithToken("GET", "/admin/fruit/pear").body.find("pear"), std::string::npos);
  EXPECT_EQ(SendWithToken("GET", "/admin/fruit/missing").status, 404);
  EXPECT_EQ(SendWithToken("GET", "/admin/none").status, 404);
  EXPECT_EQ(SendWithToken("GET", "/other").status, 404);
  EXPECT_EQ(SendWithToken("PUT", "/admin/fruit").status, 405);
  EXPECT_EQ(SendWithToken("POST", "/admin/fruit/eat", R"({"n":1})").status, 200);
  EXPECT_EQ(SendWithToken("POST", "/admin/fruit/eat", "not json").status, 400);
  EXPECT_EQ(SendWithToken("POST", "/admin/fruit/eat", "[1]").status, 400);
  EXPECT_EQ(section.acted, 1);
}

TEST_F(AdminTest, MetricsNeedNoToken) {
  metrics.Counter("apples_total").Add(3);
  const http_answer answer = Send("GET", "/metrics", "");
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("apples_total 3\n"), std::string::npos);
}

/** A key and a self-signed certificate in PEM files. */
class certificate_files {
 public:
  explicit certificate_files(const std::string& folder)
      : certificate(folder + "/certificate.pem"), key(folder + "/key.pem") {}

  /** Replaces both files with a new pair. */
  void Renew(long serial) const {
    EVP_PKEY* pair = EVP_EC_gen("P-256");
    X509* new_certificate = X509_new();
    X509_set_version(new_certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(new_certificate), serial);
    X509_gmtime_adj(X509_getm_notBefore(new_certificate), -60);
    X509_gmtime_adj(X509_getm_notAfter(new_certificate), 3600);
    X509_set_pubkey(new_certificate, pair);
    X509_NAME* subject = X509_get_subject_name(new_certificate);
    const auto* common_name = reinterpret_cast<const unsigned char*>("daemon");
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, common_name, -1, -1, 0);
    X509_set_issuer_name(new_certificate, subject);
    X509_sign(new_certificate, pair, EVP_sha256());
    std::FILE* file = std::fopen(certificate.c_str(), "w");
    PEM_write_X509(file, new_certificate);
    std::fclose(file);
    file = std::fopen(key.c_str(), "w");
    PEM_write_PrivateKey(file, pair, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(new_certificate);
    EVP_PKEY_free(pair);
  }

  std::string certificate;
  std::string key;
};

class AdminTlsTest : public AdminTest {
 protected:
  AdminTlsTest() : folder(MakeFolder()), files(folder) {
    files.Renew(1);
    settings.certificate = files.certificate;
    settings.key = files.key;
  }
  ~AdminTlsTest() override { std::filesystem::remove_all(folder); }

  void Listen() {
    server = std::make_unique<http_server>(io, endpoint, random, metrics, "admin", http_limits(),
                                           *MakeTlsContext(settings));
    endpoint.SetCallerPort(*server);
    port = *server->Listen("127.0.0.1:0");
  }

  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return done();
  }

  /** Requests the metrics over TLS. Returns the serial number of the server's certificate or 0. */
  long GetMetricsOverTls(std::string& answer) {
    boost::asio::ssl::context context(boost::asio::ssl::context::tls_client);
    boost::asio::ssl::stream<tcp::socket> stream(io, context);
    stream.lowest_layer().connect({boost::asio::ip::make_address("127.0.0.1"), port});
    bool has_ended = false;
    long serial = 0;
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    std::array<char, 4096> buffer{};
    std::function<void()> read = [&] {
      stream.async_read_some(boost::asio::buffer(buffer),
                             [&](boost::system::error_code failed, std::size_t size) {
                               answer.append(buffer.data(), size);
                               if (failed) {
                                 has_ended = true;
                               } else {
                                 read();
                               }
                             });
    };
    stream.async_handshake(
        boost::asio::ssl::stream_base::client, [&](boost::system::error_code failed) {
          if (failed) {
            has_ended = true;
            return;
          }
          X509* peer_certificate = SSL_get1_peer_certificate(stream.native_handle());
          serial = ASN1_INTEGER_get(X509_get0_serialNumber(peer_certificate));
          X509_free(peer_certificate);
          boost::asio::async_write(stream, boost::asio::buffer(request),
                                   [&](boost::system::error_code, std::size_t) { read(); });
        });
    RunUntil([&] { return has_ended; });
    return serial;
  }

  static std::string MakeFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "admin-XXXXXX").string();
    return mkdtemp(pattern.data());
  }

  std::string folder;
  certificate_files files;
  tls_settings settings;
  boost::asio::io_context io;
  fake_random_source random;
  std::unique_ptr<http_server> server;
  std::uint16_t port = 0;
};

TEST_F(AdminTlsTest, ServesOverTlsAndTakesUpARenewedCertificate) {
  Listen();
  std::string answer;
  EXPECT_EQ(GetMetricsOverTls(answer), 1);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
  files.Renew(2);
  server->ReplaceTls(*MakeTlsContext(settings));
  answer.clear();
  EXPECT_EQ(GetMetricsOverTls(answer), 2);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
}

TEST_F(AdminTlsTest, ACallerWithoutTlsGetsNothing) {
  Listen();
  tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  const std::string request = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request));
  socket.non_blocking(true);
  std::string text;
  EXPECT_TRUE(RunUntil([&] {
    std::array<char, 512> bytes{};
    boost::system::error_code failed;
    const std::size_t size = socket.read_some(boost::asio::buffer(bytes), failed);
    text.append(bytes.data(), size);
    return failed && failed != boost::asio::error::would_block;
  }));
  EXPECT_EQ(text.find("HTTP/1.1 200"), std::string::npos);
}

TEST_F(AdminTlsTest, FilesThatCannotBeUsedAreAnError) {
  settings.key = files.certificate;
  EXPECT_FALSE(MakeTlsContext(settings).has_value());
  settings.key = files.key + ".none";
  EXPECT_FALSE(MakeTlsContext(settings).has_value());
}

}  // namespace
}  // namespace hawthorndrum
