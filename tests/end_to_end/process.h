/// Child process of a test.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace hawthorndrum {

/**
 * Starts a program with its output appended to a file; the destructor kills the process.
 */
class process {
 public:
  process(const std::vector<std::string>& command, const std::string& log);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Signal(int signal) const;
  /** Kills the process and waits for it to end. */
  void Kill();
  /** Waits up to 30 s for the end; returns the exit code, or -1 after a timeout or a signal. */
  int Wait();
  bool running();

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int exit_code_ = -1;
};

}  // namespace hawthorndrum
