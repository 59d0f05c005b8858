/// Asks the descriptor before each write, which is short enough not to block then.
#include "bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace hawthorndrum {

namespace {
constexpr int kPatienceMs = 100;
constexpr std::size_t kMaxWrite = PIPE_BUF;
}  // namespace

void WriteBounded(int descriptor, std::string_view text) {
  while (!text.empty()) {
    pollfd writable{descriptor, POLLOUT, 0};
    const int ready = poll(&writable, 1, kPatienceMs);
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return;
    const ssize_t written = write(descriptor, text.data(), std::min(text.size(), kMaxWrite));
    if (written < 0 && errno != EINTR) return;
    if (written > 0) text.remove_prefix(static_cast<std::size_t>(written));
  }
}

void PrintError(std::string_view text) { WriteBounded(STDERR_FILENO, text); }

}  // namespace hawthorndrum
