/// A gateway on a system whose default of open files is far below the setting.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "gateway_process.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

// Guards against a daemon that accepts far fewer callers than its settings allow.
TEST(FewOpenFiles, CallersBeyondTheSystemsDefaultAreAccepted) {
  constexpr rlim_t kDefault = 256;
  constexpr int kCallers = 400;
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  gateway_process gateway;
  gateway.WriteSettings();
  const rlimit low{kDefault, before.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &low), 0);
  gateway.Start();
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  ASSERT_TRUE(WaitFor([&] { return gateway.serves(); })) << gateway.log();
  boost::asio::io_context io;
  std::vector<tcp::socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(io).connect(gateway.Address("callers"));
    // An idle connection could be closed for another one.
    boost::asio::write(callers.back(), boost::asio::buffer(std::string("GET / HTTP/1.1\r\n")));
  }
  EXPECT_TRUE(WaitFor([&] { return gateway.open_files() >= kCallers; })) << gateway.open_files();
}

}  // namespace
}  // namespace hawthorndrum
