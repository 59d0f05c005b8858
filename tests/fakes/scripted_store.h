/// A store on a socket of this host, whose answers the test decides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/http_message.h"

namespace hawthorndrum {

/** Answers one call on each connection. */
class scripted_store {
 public:
  using script = std::function<http_answer(const std::string& target)>;

  scripted_store(boost::asio::io_context& io, script answers)
      : io_(io),
        acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        answers_(std::move(answers)) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < end)
      io_.run_one_for(std::chrono::milliseconds(5));
    return done();
  }

  /** The request lines received, without their line breaks. */
  std::vector<std::string> lines;

 private:
  using tcp = boost::asio::ip::tcp;
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
                                    if (!failed) Answer(with);
                                  });
  }
  void Answer(const std::shared_ptr<connection>& with) {
    lines.push_back(with->text.substr(0, with->text.find("\r\n")));
    const std::string& line = lines.back();
    const std::size_t begin = line.find(' ') + 1;
    const http_answer answer = answers_(line.substr(begin, line.rfind(' ') - begin));
    with->text =
        "HTTP/1.1 " + std::to_string(answer.status) +
        " x\r\nConnection: close\r\nContent-Length: " + std::to_string(answer.body.size()) +
        "\r\n\r\n" + answer.body;
    boost::asio::async_write(with->socket, boost::asio::buffer(with->text),
                             [with](boost::system::error_code, std::size_t) {});
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  script answers_;
};

}  // namespace hawthorndrum
