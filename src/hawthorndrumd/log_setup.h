/// Sets up structured logging through glog.
#pragma once

namespace hawthorndrum {

struct log_settings;

/** Initialises glog; `program` is the program's name. Call once, before the first log line. */
void StartLogging(const char* program, const log_settings& settings);

}  // namespace hawthorndrum
