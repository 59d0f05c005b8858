"""The platform's API for duties, with faults, and the checks over the calls that it gets."""

import asyncio
import json
import time

from http_messages import answer, read_message

WINDOW_S = 1
LATENESS_S = 4
MIN_RETURN_S = 3.0  # A, B, A of holders within this time breaks the rule.
THAW_S = 0.3
MAX_ANSWER_S = 2.5


class DutyRecords:
    """Records the calls and what began, by team and window of true time."""

    def __init__(self, disturbances):
        self.disturbances = disturbances
        self.calls = []  # Time, gateway and token of each call that counts.
        self.reports = {}  # Counts by window.
        self.began = {}  # Requests that workers began, by window and team.
        self.counts = {"calls": 0, "windows": 0, "repeated": 0, "requests": 0, "holders": 0}

    def on_began(self, team):
        window = int(time.time() / WINDOW_S)
        teams = self.began.setdefault(window, {})
        teams[team] = teams.get(team, 0) + 1

    def on_call(self, gateway, port, headers, fail):
        """Checks the order of the calls; a gateway that just woke may have sent one before."""
        now = time.monotonic()
        token = int(headers["x-hawthorndrum-fence-token"])
        self.counts["calls"] += 1
        if headers["x-hawthorndrum-lease-holder"] != "g%d" % gateway:
            fail("gateway %d called as %s" % (gateway, headers["x-hawthorndrum-lease-holder"]))
        if any(token == other and gateway != sender for _, sender, other in self.calls):
            fail("two gateways called with token %d" % token)
        if self.disturbances.overlap(now - THAW_S, now, {"frozen-%d" % port}):
            return
        if any(other > token for _, _, other in self.calls):
            fail("gateway %d called with token %d after %d" % (gateway, token, self.calls[-1][2]))
        recent = [sender for at, sender, _ in self.calls if now - at < MIN_RETURN_S]
        if gateway in recent and any(sender != gateway
                                     for sender in recent[recent.index(gateway):]):
            fail("gateways called in the order A, B, A within %.0f s" % MIN_RETURN_S)
        if not self.calls or self.calls[-1][1] != gateway:
            self.counts["holders"] += 1
        self.calls.append((now, gateway, token))

    def on_usage(self, sent, fail):
        window, counts = sent["window_id"], sent["counts"]
        if window in self.reports:
            self.counts["repeated"] += 1
            if self.reports[window] != counts:
                fail("two contents of window %d: %s, %s" % (window, self.reports[window], counts))
            return
        if (window + 1) * WINDOW_S > time.time() + 0.2:
            fail("window %d was reported before its end" % window)
        self.reports[window] = counts
        self.counts["windows"] += 1
        self.counts["requests"] += sum(counts.values())

    def check(self, fail):
        """Nothing is made up: a first byte may arrive in the windows after that of the run."""
        for window, counts in self.reports.items():
            for team, count in counts.items():
                near = sum(self.began.get(other, {}).get(team, 0)
                           for other in range(window - 3, window + 2))
                if count > near:
                    fail("window %d: %d requests of %s were reported, and %d began" % (
                        window, count, team, near))
        if not self.reports:
            fail("no usage was reported")


class PlatformApi:
    """Accepts the duties' calls of each gateway at a port of its own."""

    def __init__(self, records, rng):
        self.records, self.rng = records, rng
        self.ports = {}  # The callers' port of each gateway, which names it to the disturbances.
        self.fault = None  # None, "busy", "lost", "slow"
        self.cut_off = None  # A gateway whose connections are closed unread.

    async def serve(self, gateway, reader, writer):
        try:
            message = await read_message(reader) if gateway != self.cut_off else None
            if message:
                status = self.call(gateway, *message)
                if self.fault == "slow":
                    await asyncio.sleep(self.rng.uniform(0.2, MAX_ANSWER_S))
                if status != 200 or self.fault != "lost" or self.rng.random() < 0.5:
                    writer.write(answer(status, {}, b""))
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        writer.close()

    def call(self, gateway, words, headers, body):
        duties = self.records.duties
        duties.on_call(gateway, self.ports[gateway], headers, self.records.fail)
        if self.fault == "busy":
            return self.rng.choice([429, 503])
        if words[1] == "/usage":
            duties.on_usage(json.loads(body), self.records.fail)
        return 200

    async def faults(self, soak):
        while not soak.faults_stopped:
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            if self.rng.random() < 0.5:
                self.fault = self.rng.choice(["busy", "lost", "lost", "slow"])
            else:
                self.cut_off = self.rng.randrange(len(self.ports))
            await asyncio.sleep(self.rng.uniform(0.5, 6))
            self.fault = self.cut_off = None
