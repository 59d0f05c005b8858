"""What the soak's callers sent and its workers ran, and the checks over both."""

import re
import time

from crash_records import CrashRecords
from cut_records import CutRecords
from disturbances import Disturbances
from duty_records import DutyRecords
from limit_records import LimitRecords
from rest_records import RestRecords
from team_keys import TeamKeys
from version_records import VersionRecords

MIN_HOLDER_CHANGE_S = 3.0
TIME_LIMIT_S = 2.9  # An answer that ends later than this may have reached its deadline of 3 s.

MIN_RESUMPTIONS = 12  # Fewer do not show a share.
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)-(\d+) (\S+)\n\n")


class Records:
    """Records what callers sent and workers ran, and checks it."""

    EVENTS = 12

    def __init__(self, seed=0):
        self.sent, self.runs, self.workers_of, self.not_run, self.failures = {}, {}, {}, set(), []
        self.orders = []
        self.counts = {}
        self.disturbances = Disturbances()
        self.offers = {}  # The workers that received a request, by request.
        self.gateways_of = {}  # Scopes of the gateways that sent it to them, by request.
        self.ports = []  # The port of each gateway.
        self.silenced, self.silence_counts = set(), {}
        self.expect_counts = {}
        self.crashing_parts = set()
        self.crashes = CrashRecords(self.disturbances)
        self.limits = LimitRecords(self.disturbances)
        self.cuts = CutRecords(self.disturbances)
        self.rests = RestRecords(self.disturbances)
        self.keys = TeamKeys(seed, self.disturbances)
        self.duties = DutyRecords(self.disturbances)
        self.versions = {}  # Software version of each worker.
        self.versions_of_gateways = VersionRecords(self.disturbances)
        self.stream_counts = {"new": 0, "begun": 0, "resumed": 0, "gone on": 0}

    def fail(self, what):
        self.failures.append("%.3f %s" % (time.time(), what))
        print("FAILED:", what, flush=True)

    @staticmethod
    def seal(worker, request):
        return "%s.%s" % (worker, request)

    @staticmethod
    def body(request):
        return ("answer to %s " % request).encode() * 20

    @staticmethod
    def event(request, number, worker):
        return b"id: %d\ndata: %s-%d %s\n\n" % (number, request.encode(), number, worker.encode())

    def on_run(self, worker, request, method, target, body):
        known = self.sent.get(request)
        if known is None or known["asked"] != (method, target, body):
            self.fail("%s ran a request that no caller sent: %s %s" % (worker, request, target))
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        self.workers_of.setdefault(request, set()).add(worker)
        if not known["idempotent"] and self.runs[request] > 1:
            self.fail("%s ran %d times" % (request, self.runs[request]))
        if request in self.not_run:
            self.fail("%s ran after its caller was told that it had not run" % request)

    def on_offer(self, worker, request, gateway):
        self.offers.setdefault(request, set()).add(worker)
        self.rests.on_offer(worker, gateway)
        if gateway is not None:
            self.gateways_of.setdefault(request, set()).add("gateway-%d" % self.ports[gateway])
        self.limits.on_offer(worker, request)

    def on_crashing_offer(self, request, part):
        self.crashes.on_offer(request)

    def on_part_crash(self, part):
        self.crashes.on_crash()

    def on_silence(self, request):
        self.silenced.add(request)

    def on_order(self, worker, order):
        now = time.monotonic()
        for at, holder, fence in self.orders[-20:]:
            if holder != order["holder"] and fence == order["fence"]:
                self.fail("two holders sent orders with fencing number %d" % fence)
            if holder != order["holder"] and now - at < MIN_HOLDER_CHANGE_S:
                self.fail("two holders sent orders within %.1f s" % (now - at))
            if fence > order["fence"]:
                self.fail("fencing number %d after %d" % (order["fence"], fence))
        self.orders.append((now, order["holder"], order["fence"]))

    def on_attempt(self, attempt, stream, serving):
        """Checks what an attempt brought; its status is 0 if it brought no answer.

        `stream` is None for other requests; `serving` is the number of workers that had the
        stream's software version while the attempt lasted.
        """
        self.limits.on_attempt(attempt)
        self.cuts.on_attempt(attempt, stream)
        before = stream.last_event if stream else 0
        if attempt.status:
            self.check_answer(attempt, stream)
        if stream:
            self.crashes.on_attempt(attempt, stream)
        after = stream.last_event if stream else 0
        self.versions_of_gateways.on_attempt(attempt, stream, before, after > before)
        is_sound = stream and not stream.crashing_part
        if is_sound and attempt.asked[1].startswith("/stream/tell/"):
            self.count_stream(attempt, before, after > before, serving)
        if attempt.request in self.silenced and not attempt.broken:
            kind = self.check_silenced(attempt)
            self.silence_counts[kind] = self.silence_counts.get(kind, 0) + 1

    def check_silenced(self, attempt):
        """Checks that no answer ended because a worker was silent; returns the outcome."""
        scopes = {"workers", "gateway-%d" % attempt.port, "cut-%d" % attempt.port}
        scopes |= self.offers[attempt.request] | self.gateways_of.get(attempt.request, set())
        if self.disturbances.overlap(attempt.start, attempt.end, scopes):
            return "beside another fault"
        if attempt.end - attempt.start >= TIME_LIMIT_S:
            return "at the time limit"
        if attempt.whole and attempt.status == 503:
            return "refused"
        seal = attempt.headers.get("x-hawthorndrum-response-seal", "")
        if attempt.whole and seal.endswith("." + attempt.request):
            return "complete"
        outcome = attempt.status if attempt.whole else "a closed connection"
        self.fail("%s %s ended with %s, %d bytes, after %.3f s beside a silent worker, at %s" % (
            attempt.request, attempt.asked[1], outcome, len(attempt.body),
            attempt.end - attempt.start, sorted(self.offers[attempt.request])))
        return "failed"

    def count_stream(self, attempt, before, progress, serving):
        scopes = {"%s-%d" % (kind, attempt.port) for kind in ("gateway", "stopping", "cut")}
        if self.disturbances.overlap(attempt.start, attempt.end, scopes) or before and serving < 2:
            return
        self.stream_counts["resumed" if before else "new"] += 1
        self.stream_counts["gone on" if before else "begun"] += progress

    def count_expect(self, what):
        self.expect_counts[what] = self.expect_counts.get(what, 0) + 1

    def check_resumptions(self):
        counts = self.stream_counts
        if counts["resumed"] < MIN_RESUMPTIONS:
            return
        if 2 * counts["gone on"] * counts["new"] < counts["begun"] * counts["resumed"]:
            self.fail("resumptions go on under half as often as new streams begin: %s" % counts)

    def check_answer(self, attempt, stream):
        request, status = attempt.request, attempt.status
        if status == 401:
            return self.keys.check_refusal(request, attempt.asked[1], self.fail)
        kind = status if attempt.whole else "broken" if attempt.broken else "cut"
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if status in (408, 421, 429, 503) and not self.sent[request]["idempotent"]:
            self.not_run.add(request)
            if self.runs.get(request, 0):
                self.fail("%s was reported as not run with %d but had run" % (request, status))
        if status == 404:
            return self.fail("%s got 404" % request)
        if status != 200:
            return
        if not attempt.headers.get("x-hawthorndrum-response-seal", "").endswith("." + request):
            return self.fail("%s got a success without its worker's seal" % request)
        if stream:
            return self.check_events(attempt, stream)
        if attempt.body != self.body(request) and attempt.whole:
            self.fail("%s got %r" % (request, attempt.body[-80:]))

    def check_events(self, attempt, stream):
        """Checks each event of an attempt and what goes on from the attempts before."""
        request = attempt.request
        at, seen = 0, set()
        while (event := EVENT.match(attempt.body, at)) is not None:
            worker = event[4].decode()
            number = stream.last_event + 1
            if event[0] != self.event(request, number, worker) or number > self.EVENTS or \
                    worker not in self.workers_of.get(request, ()):
                return self.fail("%s got %r as event %d" % (request, event[0], number))
            seen.add(self.versions[worker])
            stream.last_event, at = number, event.end()
            stream.first_attempt = stream.first_attempt or request
            stream.version = stream.version or self.versions[worker]
        if not seen <= {stream.version}:
            runs = b" ".join(b"-".join(event) for event in
                             re.findall(rb"id: (\d+)\n.* (\S+)\n", attempt.body)).decode()
            self.fail("%s, of the stream that %s began at %s, holds events of %s: %s" % (
                request, stream.first_attempt, stream.version, sorted(seen), runs))
        rest = attempt.body[at:]
        workers = self.workers_of.get(request, ())
        starts = [self.event(request, stream.last_event + 1, worker) for worker in workers]
        if attempt.whole and (rest or stream.last_event != self.EVENTS):
            self.fail("%s ended as complete after event %d" % (request, stream.last_event))
        if rest and not any(start.startswith(rest) for start in starts):
            self.fail("%s got %r after event %d" % (request, rest, stream.last_event))
