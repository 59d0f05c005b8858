/// Reads the kernel's figures of this process.
#include "process_memory.h"

#include <unistd.h>

#include <cstdio>

namespace hawthorndrum {

std::size_t ResidentBytes() {
  std::FILE* figures = std::fopen("/proc/self/statm", "re");
  if (figures == nullptr) return 0;
  std::size_t pages = 0;
  const int read = std::fscanf(figures, "%*u %zu", &pages);
  std::fclose(figures);
  return read == 1 ? pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

}  // namespace hawthorndrum
