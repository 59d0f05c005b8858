/// Tests of the line that a process logs when a signal ends it.
#include "fatal_signals.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>

namespace hawthorndrum {
namespace {

/** Recurses until the stack is exhausted. */
int Descend(volatile int depth) {
  if (depth < 0) return 0;
  volatile char frame[4096];
  frame[depth % sizeof(frame)] = 1;
  return Descend(depth + 1) + frame[0];
}

void LogToStandardError() {
  dup2(STDERR_FILENO, STDOUT_FILENO);
  LogFatalSignals("g1");
  SetActivity("store_list");
}

// Guards against a process that ends by a signal and leaves no trace of what it did.
TEST(FatalSignalsDeathTest, TheLastActivityIsLogged) {
  const auto end_by = [](int signal) {
    LogToStandardError();
    std::raise(signal);
  };
  EXPECT_EXIT(end_by(SIGSEGV), testing::KilledBySignal(SIGSEGV),
              "\"host\":\"g1\",\"event\":\"fatal_signal\",\"signal\":11,.*\"store_list\"");
  EXPECT_EXIT(end_by(SIGABRT), testing::KilledBySignal(SIGABRT), "\"signal\":6,.*\"store_list\"");
}

TEST(FatalSignalsDeathTest, AnExhaustedStackIsLogged) {
  const auto exhaust = [] {
    LogToStandardError();
    Descend(0);
  };
  EXPECT_EXIT(exhaust(), testing::KilledBySignal(SIGSEGV), "\"fatal_signal\",\"signal\":11");
}

}  // namespace
}  // namespace hawthorndrum
