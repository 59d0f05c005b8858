/// Starts, signals and terminates child processes.
#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <chrono>
#include <thread>

extern char** environ;

namespace hawthorndrum {

namespace {
constexpr auto kTimeout = std::chrono::seconds(30);
constexpr auto kPollInterval = std::chrono::milliseconds(10);
}  // namespace

process::process(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& part : command) arguments.push_back(const_cast<char*>(part.c_str()));
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  if (posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ) != 0) {
    ended_ = true;
  }
  posix_spawn_file_actions_destroy(&actions);
}

process::~process() { Kill(); }

void process::Signal(int signal) const {
  if (!ended_) kill(pid_, signal);
}

void process::Kill() {
  if (ended_) return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  ended_ = true;
}

int process::Wait() {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (running() && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(kPollInterval);
  return exit_code_;
}

bool process::running() {
  if (ended_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0) return true;
  ended_ = true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return false;
}

}  // namespace hawthorndrum
