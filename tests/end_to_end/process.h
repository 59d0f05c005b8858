/// A child process of a test.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace hawthorndrum {

/**
 * Starts a program with its output in a file; kills it when the object goes.
 */
class process {
 public:
  process(const std::vector<std::string>& command, const std::string& log);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Signal(int signal) const;
  /** Kills it at once and waits for its end. */
  void Kill();
  /** Waits up to 30 s for its end; the exit code, or -1 when it did not end or was killed. */
  int Wait();
  bool running();

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int exit_code_ = -1;
};

}  // namespace hawthorndrum
