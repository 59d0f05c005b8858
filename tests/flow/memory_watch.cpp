/// Tests of the lines that tell of a process near the end of its memory.
#include "memory_watch.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "process_memory.h"
#include "recording_log.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kLimit = 260;

TEST(MemoryWatch, EachCrossingIsLoggedOnce) {
  recording_log log;
  metrics_registry metrics;
  memory_watch watch(kLimit, log, metrics);
  for (const std::size_t resident : {100, 196, 250, 140, 131, 130, 100, 200}) {
    watch.Observe({resident, 64, 7, 3});
  }
  const std::vector<std::string> crossings = {"memory_high", "memory_normal", "memory_high"};
  EXPECT_EQ(log.events, crossings);
  EXPECT_NE(log.lines[0].find("\"resident_bytes\":196,\"limit_bytes\":260,\"held_bytes\":64,"
                              "\"connections\":7,\"in_flight\":3"),
            std::string::npos);
}

TEST(MemoryWatch, TheKernelsFigureCoversWhatIsInUse) {
  const std::vector<char> used(64 * 1024 * 1024, 'x');
  EXPECT_GT(ResidentBytes(), used.size());
}

}  // namespace
}  // namespace hawthorndrum
