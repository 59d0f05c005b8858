/// Logs one line when a signal is about to end the process.
#pragma once

#include <string_view>

namespace hawthorndrum {

/**
 * Has SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT write a line of the JSON log to standard output:
 * `host`, `event` (`fatal_signal`), `signal`, `address` of the fault, and `activity`. The process
 * then ends as without it. Also works when the stack of the calling thread is exhausted.
 */
void LogFatalSignals(std::string_view host);

/** Names what the process does from now on; `activity` must outlive the process. */
void SetActivity(const char* activity);

}  // namespace hawthorndrum
