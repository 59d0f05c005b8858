/// The mask of the signals that control a daemon.
#include "process_signals.h"

#include <signal.h>

namespace hawthorndrum {

namespace {

constexpr int kSignals[] = {SIGTERM, SIGINT, SIGHUP};

void ChangeMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int each : kSignals) sigaddset(&signals, each);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void HoldSignals() { ChangeMask(SIG_BLOCK); }

void ReleaseSignals() { ChangeMask(SIG_UNBLOCK); }

}  // namespace hawthorndrum
