"""What callers get at gateways that are cut off from all workers, and the check of it."""

KNOWN_AFTER_S = 3.0  # From then on a cut must not show.
MIN_SHARE = 2 / 3  # Of the share of first tries that are served at the other gateways.
FEW_FAILURES = 10
FEW_FAILURES_SHARE = 1 / 50


class CutRecords:
    """Counts first tries by whether their gateway was cut off."""

    def __init__(self, disturbances):
        self.disturbances = disturbances
        self.cuts, self.tries, self.ports = [], [], set()
        self.counts, self.outcomes = {}, {}

    def on_cut(self, ports, begin, end):
        self.cuts.append((set(ports), begin + KNOWN_AFTER_S, end))

    def on_attempt(self, attempt, stream):
        is_first = stream is None or stream.first_attempt in (None, attempt.request)
        if not is_first or attempt.broken or (stream and stream.crashing_part):
            return
        outcome = attempt.status if attempt.whole or not attempt.status else "broken off"
        self.tries.append((attempt.port, attempt.start, attempt.end, outcome))

    def is_sound(self, port, since, until):
        """Returns whether the gateway was disturbed neither during that time nor shortly before."""
        scopes = {"gateway-%d" % port, "stopping-%d" % port}
        return not self.disturbances.overlap(since - KNOWN_AFTER_S, until, scopes)

    def check(self, fail):
        served, failed = {True: 0, False: 0}, {True: 0, False: 0}
        for cut, begin, end in self.cuts:
            for port, since, until, outcome in self.tries:
                if not begin <= since < end or not self.is_sound(port, since, until):
                    continue
                # Somebody must be there who can serve it.
                if not any(self.is_sound(other, since, until) for other in self.ports - cut):
                    continue
                (served if outcome == 200 else failed)[port in cut] += 1
                if port in cut:
                    self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.counts = {"outcomes when cut off": self.outcomes,
                       "cut off": (served[True], failed[True]),
                       "others": (served[False], failed[False])}
        tries = {cut: served[cut] + failed[cut] for cut in (True, False)}
        if not tries[True] or not tries[False]:
            return
        few = FEW_FAILURES + FEW_FAILURES_SHARE * (tries[True] + tries[False])
        share = {cut: served[cut] / tries[cut] for cut in tries}
        if share[True] < MIN_SHARE * share[False] and failed[True] > few:
            fail("gateways that reach no worker served %d of %d first tries, the others %d of %d" %
                 (served[True], tries[True], served[False], tries[False]))
