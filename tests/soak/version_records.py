"""What ran when at each gateway of the soak, and what became of the requests there, by version."""

import time

NEWEST, PRODUCTION = "newest", "production"
SEEN_WITHIN_S = 0.5  # A gateway's end is seen at most this long after its callers see it.


class Life:
    """One process of a gateway."""

    def __init__(self, version):
        self.version, self.start, self.end = version, time.monotonic(), float("inf")
        self.own_end = False


class VersionRecords:
    def __init__(self, disturbances):
        self.disturbances = disturbances
        self.lives = {}  # By port, in the order of their starts.
        self.attempts = []  # With the last event that the stream had before, and whether more came.
        self.own_ends = {}  # Exit codes and how often, by version.

    def on_start(self, port, version):
        self.lives.setdefault(port, []).append(Life(version))

    def on_end(self, port, own_end_code):
        """`own_end_code` is None if the process was asked to end."""
        life = self.lives[port][-1]
        life.end = time.monotonic()
        life.own_end = own_end_code is not None
        if life.own_end:
            codes = self.own_ends.setdefault(life.version, {})
            codes[own_end_code] = codes.get(own_end_code, 0) + 1

    def on_attempt(self, attempt, stream, before, progress):
        if not attempt.broken:
            self.attempts.append((attempt, stream, before, progress))

    def life_at(self, port, when):
        lives = [life for life in self.lives[port] if life.start <= when]
        return lives[-1] if lives else self.lives[port][0]

    def ended_itself(self, port, attempt):
        return any(life.own_end and attempt.start < life.end < attempt.end + SEEN_WITHIN_S
                   for life in self.lives[port])

    def kind_of(self, attempt):
        if attempt.whole:
            return "whole answers"
        if self.ended_itself(attempt.port, attempt):
            return "lost as the process ended by itself"
        scopes = {"%s-%d" % (kind, attempt.port) for kind in ("gateway", "stopping", "cut")}
        if self.disturbances.overlap(attempt.start, attempt.end, scopes):
            return "without one beside a fault there"
        return "without one beside other faults"

    def report(self, gateways_of):
        """Returns lines; `gateways_of` has the scopes of the gateways that sent each request on."""
        counts, lost = {}, {}  # The latter: streams lost by an own end, and the version there.

        def count(version, what):
            counts.setdefault(version, {}).setdefault(what, 0)
            counts[version][what] += 1

        for attempt, stream, before, progress in self.attempts:
            life = self.life_at(attempt.port, attempt.start)
            kind = self.kind_of(attempt)
            count(life.version, kind)
            passed_on = [int(scope.partition("-")[2]) for scope in gateways_of.get(attempt.request, ())]
            for port in passed_on:
                if port != attempt.port and self.ended_itself(port, attempt):
                    what = attempt.status if attempt.whole else "no whole answer"
                    at = self.life_at(port, attempt.start).version
                    count(life.version, "passed on to %s that ended by itself: %s" % (at, what))
            if stream is None:
                continue
            if before and stream in lost:
                went = "went on" if progress else "got nothing more (%s)" % attempt.status
                count(life.version, "resumed after an own end of %s: %s" % (lost.pop(stream), went))
            if kind.startswith("lost") and stream.last_event:
                lost[stream] = life.version
        lines = []
        for version in sorted(counts):
            starts = sum(life.version == version for lives in self.lives.values() for life in lives)
            lines.append("%s version: %d processes, ended by themselves (code: number) %s; %s" % (
                version, starts, self.own_ends.get(version, {}), counts[version]))
        return lines
