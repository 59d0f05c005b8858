/// The command line of the load tool.
#pragma once

namespace hawthorndrum {

/** `hawthorndrum-standin load ...`; returns the exit code. */
int RunLoadCommand(int argc, char** argv);

}  // namespace hawthorndrum
