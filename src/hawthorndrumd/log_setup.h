/// Structured log lines through glog.
#pragma once

namespace hawthorndrum {

struct log_settings;

/** Starts glog; `program` is the program's name. Call once, before the first line. */
void StartLogging(const char* program, const log_settings& settings);

}  // namespace hawthorndrum
