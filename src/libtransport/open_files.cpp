/// Sets the kernel's limit of open files.
#include "open_files.h"

#include <sys/resource.h>

#include <algorithm>

namespace hawthorndrum {

std::uint32_t RaiseOpenFiles(std::uint32_t wanted) {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0) return wanted;
  if (files.rlim_cur < files.rlim_max) {
    rlimit raised = files;
    raised.rlim_cur = files.rlim_max;
    if (setrlimit(RLIMIT_NOFILE, &raised) == 0) files = raised;
  }
  return static_cast<std::uint32_t>(std::min<rlim_t>(wanted, files.rlim_cur));
}

}  // namespace hawthorndrum
