/// Random numbers from getrandom.
#include "system_random.h"

#include <sys/random.h>

#include <cerrno>
#include <cstdlib>

namespace hawthorndrum {

std::uint64_t system_random::Draw() {
  std::uint64_t value = 0;
  while (value == 0) {
    const ssize_t size = getrandom(&value, sizeof value, 0);
    if (size < 0 && errno != EINTR) std::abort();
  }
  return value;
}

}  // namespace hawthorndrum
