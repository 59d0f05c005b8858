/// Tests of requests with methods that the HTTP library treats in its own way.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "base/http_message.h"
#include "http_wire.h"

namespace hawthorndrum {
namespace {

// Guards against a caller that ends the process: the library throws at TRACE with a body.
TEST(OddMethods, EachIsSentWithTheBodyItCameWith) {
  for (const char* method : {"TRACE", "GET", "HEAD", "CONNECT", "OPTIONS", "DELETE", "POST", "X"}) {
    for (const char* body : {"", "abc"}) {
      http_request request;
      request.method = method;
      request.target = "/";
      request.body = body;
      beast_request sent;
      ASSERT_NO_THROW(sent = ToBeast(std::move(request), "127.0.0.1:1")) << method << " " << body;
      EXPECT_EQ(sent.method_string(), method);
      EXPECT_EQ(sent.body(), body);
      const auto length = sent.find(boost::beast::http::field::content_length);
      if (*body != 0) {
        ASSERT_NE(length, sent.end()) << method;
        EXPECT_EQ(length->value(), "3") << method;
      }
    }
  }
}

}  // namespace
}  // namespace hawthorndrum
