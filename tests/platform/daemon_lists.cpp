/// Tests of lists of daemons that the store divides.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_clock.h"
#include "gateway/daemon_directory.h"
#include "http_client.h"
#include "recording_log.h"
#include "store_link.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

/** A store that answers one call on each connection. */
class dividing_store {
 public:
  explicit dividing_store(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::vector<std::string> lists;

 private:
  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string text;
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, tcp::socket socket) {
      if (failed) return;
      Serve(std::make_shared<connection>(std::move(socket)));
      Accept();
    });
  }
  void Serve(const std::shared_ptr<connection>& with) {
    boost::asio::async_read_until(with->socket, boost::asio::dynamic_buffer(with->text), "\r\n\r\n",
                                  [this, with](boost::system::error_code failed, std::size_t) {
                                    if (!failed) Answer(*with);
                                  });
  }
  void Answer(connection& with) {
    const std::string target = with.text.substr(0, with.text.find(" HTTP"));
    std::string body = "{}";
    if (target.rfind("GET", 0) == 0) {
      lists.push_back(target);
      const bool is_second = target.find("after=b") != std::string::npos;
      body = is_second ? ListOf({"c", "d"}, false) : ListOf({"a", "b"}, true);
    }
    const std::string answer =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    boost::asio::write(with.socket, boost::asio::buffer(answer));
  }
  static std::string ListOf(const std::vector<std::string>& names, bool has_more) {
    std::string items;
    for (const std::string& name : names) {
      if (!items.empty()) items += ",";
      items += R"({"metadata":{"name":")" + name +
               R"("},"spec":{"notices":"10.0.0.1:7380","data_centre":"north"}})";
    }
    return R"({"items":[)" + items + R"(],"has_more":)" + (has_more ? "true" : "false") +
           R"(,"store_revision":9})";
  }

  tcp::acceptor acceptor_;
};

// Guards against a host that counts only the first part of the list, and takes too large a share.
TEST(DaemonLists, AllPartsOfAListCount) {
  boost::asio::io_context io;
  dividing_store store(io);
  http_client client(io);
  fake_clock clock;
  recording_log log;
  store_link link(client, clock, log, store.address());
  daemon_directory directory("b");
  link.PublishRecord({"b", "10.0.0.1:7380", "north"}, directory);
  link.Run(clock.Now());
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!directory.read_at() && std::chrono::steady_clock::now() < end)
    io.run_one_for(std::chrono::milliseconds(5));
  ASSERT_EQ(store.lists.size(), 2u);
  EXPECT_EQ(directory.others().size(), 3u);
  EXPECT_TRUE(directory.lists_this());
}

}  // namespace
}  // namespace hawthorndrum
