"""Checks on workers that turn gateways away and ask for time without requests."""

import time

TOLD_AFTER_S = 0.5
MAX_REQUESTS = 2


class RestRecords:
    """Requests by worker and gateway, and the times for which the worker asked the gateway."""

    def __init__(self, disturbances):
        self.disturbances = disturbances
        self.asked = []  # (worker, gateway, at, until)
        self.offers = {}  # Times by worker and gateway.
        self.counts = {"asked": 0, "requests": 0}

    def on_asked(self, worker, gateway, seconds):
        now = time.monotonic()
        self.asked.append((worker, gateway, now, now + seconds))

    def on_offer(self, worker, gateway):
        self.offers.setdefault((worker, gateway), []).append(time.monotonic())

    def check(self, ports, fail):
        """Checks all requests; `ports` has the port of each gateway."""
        for worker, gateway, at, until in self.asked:
            port = ports[gateway]
            scopes = {worker} | {"%s-%d" % (kind, port) for kind in ("gateway", "stopping", "cut")}
            got = [offer for offer in self.offers.get((worker, gateway), [])
                   if at + TOLD_AFTER_S < offer < until]
            self.counts["asked"] += 1
            if self.disturbances.overlap(at, until, scopes):
                continue
            self.counts["requests"] += len(got)
            if len(got) > MAX_REQUESTS:
                fail("%s had asked gateway %d for %.1f s and got %d requests, after %s s" % (
                    worker, gateway, until - at, len(got),
                    " ".join("%.2f" % (offer - at) for offer in got)))
