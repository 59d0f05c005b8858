/// Holds the signals that control a daemon back until they can be handled.
#pragma once

namespace hawthorndrum {

/**
 * Keeps SIGTERM, SIGINT and SIGHUP pending in this thread and those that it creates later. A daemon
 * calls it first, since the default action of these signals ends the process, and again when its
 * handlers are about to go.
 */
void HoldSignals();

/** Lets them be delivered, those that are pending at once. */
void ReleaseSignals();

}  // namespace hawthorndrum
