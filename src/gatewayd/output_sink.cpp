/// Writes whole lines, also to descriptors that another process has made non-blocking.
#include "output_sink.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace hawthorndrum {

namespace {

/** Returns whether a write may be tried again. */
bool WaitUntilWritable(int descriptor) {
  if (errno == EINTR) return true;
  if (errno != EAGAIN) return false;
  pollfd writable{descriptor, POLLOUT, 0};
  return poll(&writable, 1, -1) >= 0 || errno == EINTR;
}

}  // namespace

void output_sink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  for (std::size_t sent = 0; sent < line.size();) {
    const ssize_t written = write(descriptor_, line.data() + sent, line.size() - sent);
    if (written >= 0) {
      sent += static_cast<std::size_t>(written);
    } else if (!WaitUntilWritable(descriptor_)) {
      return;
    }
  }
}

}  // namespace hawthorndrum
