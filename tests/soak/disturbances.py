"""The times of the soak's faults, so that a check can tell which of them touched a request."""

import time


class Disturbances:
    """Intervals with a scope: "workers", a worker's name, "gateway-PORT" or "stopping-PORT".

    "workers" holds what affects requests without a trace at a worker: proxy faults, crashes and
    connections to workers that are gone. The other scopes hold faults of that process.
    """

    def __init__(self):
        self.intervals = []

    def begin(self, scope, after=0.0):
        """Returns the interval, which lasts until end() is called with it."""
        interval = [scope, time.monotonic() + after, float("inf")]
        self.intervals.append(interval)
        return interval

    @staticmethod
    def end(interval):
        interval[2] = time.monotonic()

    def note(self, scope):
        self.end(self.begin(scope))

    def overlap(self, start, end, scopes):
        return any(scope in scopes and since <= end and until >= start
                   for scope, since, until in self.intervals)
