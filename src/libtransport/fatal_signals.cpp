/// A signal handler that calls only async-signal-safe functions.
#include "fatal_signals.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstring>

#include "bounded_output.h"

namespace hawthorndrum {

namespace {

constexpr int kSignals[] = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr std::size_t kStackBytes = 64 * 1024;
constexpr std::size_t kMaxHost = 128;

std::atomic<const char*> current_activity{"starting"};

/** A line of the log is built in place, since a handler must not allocate. */
class signal_line {
 public:
  signal_line& Text(const char* text) {
    const std::size_t length = std::min(std::strlen(text), sizeof(bytes_) - size_);
    std::memcpy(bytes_ + size_, text, length);
    size_ += length;
    return *this;
  }
  signal_line& Number(std::uint64_t value, unsigned base) {
    char digits[64];
    std::size_t first = sizeof(digits) - 1;
    digits[first] = '\0';
    do {
      digits[--first] = "0123456789abcdef"[value % base];
      value /= base;
    } while (value > 0);
    return Text(digits + first);
  }
  void Write() const { WriteBounded(STDOUT_FILENO, {bytes_, size_}); }

 private:
  char bytes_[512];
  std::size_t size_ = 0;
};

alignas(16) char handler_stack[kStackBytes];
char own_host[kMaxHost + 1];

/** It is reset on entry, so that the signal is fatal the next time. */
void OnFatalSignal(int signal, siginfo_t* info, void*) {
  signal_line line;
  line.Text("{\"host\":\"").Text(own_host).Text("\",\"event\":\"fatal_signal\",\"signal\":");
  line.Number(static_cast<std::uint64_t>(signal), 10).Text(",\"address\":\"0x");
  line.Number(reinterpret_cast<std::uintptr_t>(info->si_addr), 16).Text("\",\"activity\":\"");
  line.Text(current_activity.load(std::memory_order_relaxed)).Text("\"}\n");
  line.Write();
  // Blocked until the handler returns; only then does it end the process.
  raise(signal);
}

}  // namespace

void LogFatalSignals(std::string_view host) {
  own_host[host.copy(own_host, kMaxHost)] = '\0';
  stack_t stack{};
  stack.ss_sp = handler_stack;
  stack.ss_size = sizeof(handler_stack);
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_sigaction = OnFatalSignal;
  action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
  sigemptyset(&action.sa_mask);
  for (const int each : kSignals) sigaction(each, &action, nullptr);
}

void SetActivity(const char* activity) {
  current_activity.store(activity, std::memory_order_relaxed);
}

}  // namespace hawthorndrum
