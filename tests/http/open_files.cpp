/// Tests of the limit on open files.
#include "open_files.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <limits>

namespace hawthorndrum {
namespace {

// Guards against a daemon that runs out of descriptors far below its settings.
TEST(OpenFiles, TheDefaultOfTheSystemIsRaisedToWhatIsAllowed) {
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit low = before;
  low.rlim_cur = 128;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &low), 0);
  EXPECT_EQ(RaiseOpenFiles(200), 200u);
  rlimit after{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &after), 0);
  EXPECT_EQ(after.rlim_cur, before.rlim_max);
  EXPECT_LE(RaiseOpenFiles(std::numeric_limits<std::uint32_t>::max()), before.rlim_max);
  EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
}

}  // namespace
}  // namespace hawthorndrum
