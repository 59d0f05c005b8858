/// Sets up structured logging through glog.
#include "log_setup.h"

#include <glog/logging.h>

#include "tables/daemon_settings.h"

namespace hawthorndrum {

void StartLogging(const char* program, const log_settings& settings) {
  FLAGS_logtostderr = settings.directory.empty();
  FLAGS_log_dir = settings.directory;
  FLAGS_minloglevel = static_cast<int>(settings.level);
  google::InitGoogleLogging(program);
}

}  // namespace hawthorndrum
